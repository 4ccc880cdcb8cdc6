/** Shared code of the commands that call a host: the options for hosts and key, and printing of replies. */
import type { Command } from "commander";
import type { Either } from "purify-ts";
import { loadSettings } from "../config/Loader.js";
import { OperatorClient, type OperatorError, type OperatorReplyMessage } from "./OperatorClient.js";
import { printIssues } from "./PrintIssues.js";
import { type CommandContext, ExitCode } from "./Types.js";

const defaultTimeoutMs = "15000";

export interface OperatorOptions {
    readonly address?: string[];
    readonly config?: string;
    readonly keyFile: string;
    readonly timeoutMs: string;
}

/** Adds the options that name the hosts to call, the key file and the timeout. */
export function withOperatorOptions(command: Command): Command {
    return command
        .option("--address <ip:port...>", "peer addresses of the hosts to call, tried in order")
        .option("--config <file>", "base file whose hosts are called when no address is given")
        .requiredOption("--key-file <file>", "file with the operators' key")
        .option("--timeout-ms <ms>", "timeout for a reply, in milliseconds", defaultTimeoutMs);
}

/** Creates a client. Prints an error and returns undefined when no host is named. */
function operatorClient(options: OperatorOptions, context: CommandContext): OperatorClient | undefined {
    const addresses = options.address ?? addressesOf(options.config, context);
    if (addresses.length === 0) {
        context.output.err("name the hosts to ask, with --address or --config");
        context.setExit(ExitCode.Usage);
        return undefined;
    }
    return new OperatorClient({ addresses, keyFile: options.keyFile, timeoutMs: Number(options.timeoutMs) });
}

function addressesOf(file: string | undefined, context: CommandContext): readonly string[] {
    if (file === undefined) {
        return [];
    }
    return loadSettings(file, []).caseOf({
        Left: err => {
            printIssues(err, context);
            return [];
        },
        Right: settings => Object.values(settings.hosts).map(host => host.peerAddress),
    });
}

/** Sends a GET request to a host, and prints the reply. */
export async function getFromHost(path: string, options: OperatorOptions, context: CommandContext): Promise<void> {
    const client = operatorClient(options, context);
    if (client !== undefined) {
        printReply(await client.get(path), context);
    }
}

/** Sends a POST request to a host, and prints the reply. */
export async function postToHost(
    path: string,
    body: unknown,
    options: OperatorOptions,
    context: CommandContext,
): Promise<void> {
    const client = operatorClient(options, context);
    if (client !== undefined) {
        printReply(await client.post(path, body), context);
    }
}

/** Prints a reply and sets the corresponding exit code. */
function printReply(reply: Either<OperatorError, OperatorReplyMessage>, context: CommandContext): void {
    reply.caseOf({
        Left: err => {
            context.output.err(err.message);
            context.setExit(err.kind === "no-reply" ? ExitCode.Unknown : ExitCode.Unavailable);
        },
        Right: ({ status, body }) => {
            const text = typeof body === "string" ? body : JSON.stringify(body, undefined, 2);
            if (status < 300) {
                context.output.out(text);
                return;
            }
            context.output.err(status === 401 ? "the host rejected the key" : text);
            context.setExit(exitCodeOf(status));
        },
    });
}

function exitCodeOf(status: number): ExitCode {
    if (status === 503) {
        return ExitCode.Unavailable;
    }
    return status === 504 ? ExitCode.Unknown : ExitCode.Failed;
}
