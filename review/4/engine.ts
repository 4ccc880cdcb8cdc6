/**
 * The engine of this case, a process of its own, so that it can be kept from taking channels out of its queue. It answers
 * without a length, in two parts with a pause, and ends the answer with its channel. Arguments: address, port, id.
 */
import * as http from "node:http";
import { stampHeader } from "../lib/Engine.js";

const [, , host = "", port = "", id = ""] = process.argv;
const pauseMs = 1200;
/** So few new channels wait; the packets that open more are dropped. */
const queuedChannels = 1;

const server = http.createServer((req, res) => {
    const request = String(req.headers["fireflykeel-request-id"]);
    if (req.headers["fireflykeel-expect-instance"] !== id) {
        res.writeHead(421, { "Fireflykeel-Request-Id": request, "content-length": 0 }).end();
        return;
    }
    req.resume();
    process.send?.({ request, method: req.method, target: req.url });
    const head = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/plain",
        `Fireflykeel-Request-Id: ${request}`,
        `${stampHeader}: stamp.${request}`,
        "Connection: close",
    ];
    const { socket } = req;
    socket.on("error", () => undefined);
    socket.write(`${head.join("\r\n")}\r\n\r\nfirst part of ${request}, `);
    setTimeout(() => socket.end(`second part of ${request}`), pauseMs);
});
server.listen(Number(port), host, queuedChannels, () => process.send?.({ isListening: true }));
process.on("disconnect", () => process.exit(0));
