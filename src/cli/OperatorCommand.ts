/** What commands that talk to a host share: the options that name hosts and key, and the print of a reply. */
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

/** Adds the options that name the hosts to ask. */
export function withOperatorOptions(command: Command): Command {
    return command
        .option("--address <ip:port...>", "peer addresses of hosts to ask, in order")
        .option("--config <file>", "base file whose hosts are asked, where no address is given")
        .requiredOption("--key-file <file>", "file with the operators' key")
        .option("--timeout-ms <ms>", "how long to wait for a reply", defaultTimeoutMs);
}

/** Makes a client; undefined, with the fault printed, when no host is named. */
function operatorClient(options: OperatorOptions, context: CommandContext): OperatorClient | undefined {
    const addresses = options.address ?? addressesOf(options.config, context);
    if (addresses.length === 0) {
        context.output.err("name the hosts to ask, by --address or by --config");
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

/** Asks a host, and prints its reply. */
export async function askHost(path: string, options: OperatorOptions, context: CommandContext): Promise<void> {
    const client = operatorClient(options, context);
    if (client !== undefined) {
        printReply(await client.get(path), context);
    }
}

/** Has a host carry something out, and prints its reply. */
export async function tellHost(
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

/** Prints a reply and sets the exit code that goes with it. */
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
            context.output.err(status === 401 ? "the key was refused" : text);
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
