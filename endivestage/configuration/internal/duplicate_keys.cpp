#include <endivestage/configuration/internal/document.hpp>

#include <boost/json/basic_parser_impl.hpp>

namespace endivestage::internal
{

namespace
{

namespace json = boost::json;

/// \brief Parser event handler that records the keys of every open object.
class key_handler
{
public:
    static constexpr std::size_t max_object_size = std::size_t(-1);
    static constexpr std::size_t max_array_size = std::size_t(-1);
    static constexpr std::size_t max_key_size = std::size_t(-1);
    static constexpr std::size_t max_string_size = std::size_t(-1);

    key_handler(std::string_view file, fault_list& faults) : file_(file), faults_(&faults) {}

    bool on_document_begin(json::error_code&) { return true; }
    bool on_document_end(json::error_code&) { return true; }
    bool on_object_begin(json::error_code&) { return begin_container(false); }
    bool on_object_end(std::size_t, json::error_code&) { return end_container(); }
    bool on_array_begin(json::error_code&) { return begin_container(true); }
    bool on_array_end(std::size_t, json::error_code&) { return end_container(); }
    bool on_key_part(json::string_view part, std::size_t, json::error_code&)
    {
        return append_key_part(part);
    }
    bool on_key(json::string_view part, std::size_t, json::error_code&);
    bool on_string_part(json::string_view, std::size_t, json::error_code&) { return true; }
    bool on_string(json::string_view, std::size_t, json::error_code&) { return end_value(); }
    bool on_number_part(json::string_view, json::error_code&) { return true; }
    bool on_int64(std::int64_t, json::string_view, json::error_code&) { return end_value(); }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code&) { return end_value(); }
    bool on_double(double, json::string_view, json::error_code&) { return end_value(); }
    bool on_bool(bool, json::error_code&) { return end_value(); }
    bool on_null(json::error_code&) { return end_value(); }
    bool on_comment_part(json::string_view, json::error_code&) { return true; }
    bool on_comment(json::string_view, json::error_code&) { return true; }

private:
    /// An object or array whose end has not been parsed yet.
    struct container
    {
        std::string path;
        std::set<std::string> keys;
        std::string key;
        bool is_array = false;
        std::size_t index = 0;
    };

    bool append_key_part(json::string_view part)
    {
        key_.append(part.data(), part.size());
        return true;
    }

    bool begin_container(bool is_array)
    {
        container opened;
        if (!open_containers_.empty())
        {
            const container& top = open_containers_.back();
            opened.path = join_path(top.path, top.is_array ? std::to_string(top.index) : top.key);
        }
        opened.is_array = is_array;
        open_containers_.push_back(std::move(opened));
        return true;
    }

    bool end_container()
    {
        open_containers_.pop_back();
        return end_value();
    }

    bool end_value()
    {
        if (!open_containers_.empty())
        {
            ++open_containers_.back().index;
        }
        return true;
    }

    std::string_view file_;
    fault_list* faults_;
    std::string key_;
    std::vector<container> open_containers_;
};

bool key_handler::on_key(json::string_view part, std::size_t, json::error_code&)
{
    append_key_part(part);
    container& top = open_containers_.back();
    if (!top.keys.insert(key_).second)
    {
        faults_->add(configuration_fault_kind::duplicate_key, file_, join_path(top.path, key_),
                     "the key is used twice in one object");
    }
    top.key = std::move(key_);
    key_.clear();
    return true;
}

} // namespace

void report_duplicate_keys(std::string_view content, std::string_view file, fault_list& faults)
{
    json::basic_parser<key_handler> parser(json::parse_options(), file, faults);
    json::error_code ec;
    parser.write_some(false, content.data(), content.size(), ec);
}

} // namespace endivestage::internal
