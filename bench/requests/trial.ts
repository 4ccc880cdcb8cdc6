import { LoadRun, type PolicyName } from "./LoadRun.js";

const capacity = Number(process.argv[2] ?? 100);
const policies: PolicyName[] = process.argv[4]
    ? [process.argv[4] as PolicyName]
    : ["fireflykeel", "least loaded, FIFO, no budget", "round robin, FIFO, no budget"];
for (const load of (process.argv[3] ?? "0.7,1,1.5,2").split(",").map(Number)) {
    for (const policy of policies) {
        const t0 = performance.now();
        const rate = capacity * load;
        const shares = [0.4, 0.3, 0.15, 0.1, 0.05];
        const streams = shares.flatMap((share, i) => [
            { workspace: `w${i + 1}`, pipeline: "profile" as const, perSecond: rate * share },
            { workspace: `w${i + 1}`, pipeline: "lookup" as const, perSecond: rate * share * 0.3 },
            { workspace: `w${i + 1}`, pipeline: "hold" as const, perSecond: rate * share * 0.1 },
        ]);
        const r = await new LoadRun({ policy, seed: 3, streams, durationMs: 25000, warmUpMs: 5000, resends: 3 }).run();
        const by = (p: string) => r.results.filter(one => one.pipeline === p);
        const att = (p: string) => (by(p).filter(one => one.attained).length / by(p).length).toFixed(4);
        const good = r.results.filter(o => o.answered && o.pipeline === "profile").length / r.countedMs * 1000;
        const kinds = new Map<string, number>();
        r.results.flatMap(o => o.outcomes).forEach(o => {
            const k = o.kind + ("message" in o ? "/" + o.message.replace(/[0-9]+/g, "N") : "");
            kinds.set(k, (kinds.get(k) ?? 0) + 1);
        });
        const shares2 = r.results.flatMap(o => o.refusalShares).sort((a, b) => a - b);
        console.log(
            load,
            policy,
            "profile/s",
            good.toFixed(1),
            "attain p/l/h",
            att("profile"),
            att("lookup"),
            att("hold"),
            "wasted",
            (1 - r.usedMs / r.busyMs).toFixed(3),
            "false",
            r.falseRefusals,
            "twice",
            r.unsafeTwice,
            "wrong",
            r.wrongAnswers,
            "refusal p50",
            shares2[shares2.length >> 1]?.toFixed(2),
            "prefill",
            (r.prefilledTokens / r.promptTokens).toFixed(2),
            JSON.stringify([...kinds]),
            ((performance.now() - t0) / 1000).toFixed(1) + "s",
        );
    }
}
