/**
 * Parser for addresses of endpoints: an IPv4 address in its canonical form and a port from 1 to 65535. Node throws for
 * any other port when a connection is opened, and looks up other names.
 */
import { isIPv4 } from "node:net";
import { Left, Right } from "purify-ts";
import type { EndpointAddress, IdParser } from "./Types.js";

const addressPattern = /^([\d.]{7,15}):([1-9]\d{0,4})$/;
const maxPort = 65_535;

export const parseEndpointAddress: IdParser<EndpointAddress> = text => {
    const [, host = "", port = ""] = addressPattern.exec(text) ?? [];
    return isIPv4(host) && Number(port) <= maxPort
        ? Right(text as EndpointAddress)
        : Left({ kind: "invalid-id", what: "endpoint address", text });
};
