"""Sends unusual forms of requests and answers through one router and prints how each ended."""
import sys; import os; sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'stand-ins-3'))
from lab import *
async def raw(lab,data,parts=False,half=False,timeout=4,n=1):
    r,w=await asyncio.open_connection(lab.routers[0].host,lab.ports["callers"],limit=1<<24)
    if parts:
        for i in range(len(data)):
            w.write(data[i:i+1]); await w.drain(); await asyncio.sleep(0.001)
    else: w.write(data); await w.drain()
    if half: w.write_eof()
    out=[]
    for _ in range(n):
        a=Answer()
        try: await asyncio.wait_for(read_answer(r,a),timeout)
        except Exception as e: a.reason=a.reason+" "+repr(e)
        out.append((a.status,a.reason,len(a.body),a.body[:40]))
    w.close(); return out
async def main(lab):
    await lab.begin(1)
    e=await Engine(lab,"shop","127.%d.2.1"%lab.net).join()
    mode={"m":None}
    async def b(e,req,w,base):
        m=req.field("X-Mode")
        base=base+[("X-Origin-Seal",e.seal())]
        def hd(st,f): return ("HTTP/1.1 %d X\r\n"%st+"".join("%s: %s\r\n"%x for x in f)+"\r\n").encode()
        if m in("204","304"): w.write(hd(int(m),base+([("Content-Length","10")] if m=="304" else [])))
        elif m=="201": w.write(encode(201,base,b"made"))
        elif m=="103": w.write(hd(103,[("Link","x")])+encode(200,base,b"ok"))
        elif m=="trailer": w.write(hd(200,base+[("Transfer-Encoding","chunked"),("Trailer","X-T")])+b"3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n")
        elif m=="unframed":
            w.write(hd(200,base+[("Connection","close")])+b"abc"*100); await w.drain(); return False
        elif m=="bighead": w.write(encode(200,base+[("X-Big%d"%i,"y"*1000) for i in range(9)],b"ok"))
        elif m=="big": w.write(encode(200,base,b"z"*10_000_000))
        elif m=="huge": w.write(encode(200,base,b"z"*20_000_000))
        elif m=="head": w.write(hd(200,base+[("Content-Length","10")]))
        elif m=="empty": w.write(encode(200,base,b""))
        elif m=="dribble":
            w.write(hd(200,base+[("Content-Length","30")])); 
            for i in range(30): w.write(b"d"); await w.drain(); await asyncio.sleep(0.03)
        else: w.write(encode(200,base,("%s %s %d %s"%(req.method,req.target,len(req.body),[f for f in req.fields if f[0].startswith('X-T') or f[0].lower() in('connection','te')])).encode()))
        await w.drain(); return True
    e.behave=b
    lab.put_config([lab.route("look","/look/","idempotent","shop",max_attempts=2,timeout_ms=3000),lab.route("order","/order/","non_idempotent","shop",timeout_ms=3000)])
    lab.start_routers()
    if not await lab.all_ready(): return None
    H=lambda extra="": ("Host: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\n%s"%(lab.attempt_id(),extra))
    async def t(name,data,**k): print("%-14s"%name,await raw(lab,data.encode() if isinstance(data,str) else data,**k))
    for m in ["204","304","201","103","trailer","unframed","bighead","big","huge","empty","dribble"]:
        await t(m,"GET /look/a HTTP/1.1\r\n"+H("X-Mode: %s\r\n"%m)+"\r\n")
        await t(m+"-po","POST /order/a HTTP/1.1\r\n"+H("X-Mode: %s\r\nContent-Length: 2\r\n"%m)+"\r\nhi")
    await t("HEAD","HEAD /look/a HTTP/1.1\r\n"+H("X-Mode: head\r\n")+"\r\n")
    await t("bytes","POST /order/a?x=1&y HTTP/1.1\r\n"+H("Content-Length: 2\r\n")+"\r\nhi",parts=True)
    await t("chunks","POST /order/a HTTP/1.1\r\n"+H("Transfer-Encoding: chunked\r\nTrailer: X-Tenant\r\n")+"\r\n2;a=b\r\nhi\r\n0\r\nX-Tenant: evil\r\n\r\n")
    await t("chunksparts","POST /order/a HTTP/1.1\r\n"+H("Transfer-Encoding: chunked\r\n")+"\r\n2;a=b\r\nhi\r\n0\r\n\r\n",parts=True)
    one="GET /look/%d HTTP/1.1\r\n"
    await t("pipelined",one%1+H()+"\r\n"+one%2+H()+"\r\n"+one%3+H()+"\r\n",n=3)
    await t("emptyline","\r\n\r\nGET /look/a HTTP/1.1\r\n"+H()+"\r\n")
    await t("absolute","GET http://shop.example/look/a HTTP/1.1\r\n"+H()+"\r\n")
    await t("lower",("GET /look/a HTTP/1.1\r\n"+H()+"\r\n").lower().replace("get /look/a http","GET /look/a HTTP").replace("bearer","Bearer"))
    await t("hdr16k","GET /look/a HTTP/1.1\r\n"+H("X-Pad: "+"p"*15900+"\r\n")+"\r\n")
    await t("body4M",("POST /order/a HTTP/1.1\r\n"+H("Content-Length: 4194304\r\n")+"\r\n").encode()+b"q"*4194304)
    await t("expect",("POST /order/a HTTP/1.1\r\n"+H("Content-Length: 2\r\nExpect: 100-continue\r\n")+"\r\nhi"),n=2)
    await t("OPTIONS","OPTIONS /look/a HTTP/1.1\r\n"+H()+"\r\n")
    await t("halfclose","GET /look/a HTTP/1.1\r\n"+H()+"\r\n",half=True)
    await t("http10","GET /look/a HTTP/1.0\r\n"+H()+"\r\n")
    await t("utf8","GET /look/\xe4%20?q=\xe4 HTTP/1.1\r\n"+H()+"\r\n")
    await t("connhdr","GET /look/a HTTP/1.1\r\n"+H("Connection: keep-alive, X-Tag\r\nX-Tag: 1\r\nTE: trailers\r\nX-Tenant: evil\r\n")+"\r\n")
    await t("putempty","PUT /order/a HTTP/1.1\r\n"+H("Content-Length: 0\r\n")+"\r\n")
    await t("hostport",("GET /look/a HTTP/1.1\r\n"+H()+"\r\n").replace("shop.example","shop.example:8080"))
    await t("hostcase",("GET /look/a HTTP/1.1\r\n"+H()+"\r\n").replace("shop.example","Shop.Example"))
    return True
run_case(main, os.path.dirname(os.path.abspath(__file__)))
