/**
 * The configuration that this process uses: the committed view with the address overrides (`dial`) and the `daemon`
 * section of the process's own settings.
 */
import { Emitter } from "../common/Emitter.js";
import type { HostId } from "../common/Types.js";
import type { DaemonSettings, Settings } from "../config/Schema.js";
import type { ConfigSource, ConfigView } from "../config/Types.js";

export class EffectiveConfig implements ConfigSource {
    private readonly emitter = new Emitter<ConfigView>();
    public readonly onChange = this.emitter.event;
    private view: ConfigView | undefined;

    public constructor(private readonly source: ConfigSource, private readonly daemon: DaemonSettings) {
        source.onChange(() => {
            const view = this.current();
            if (view !== undefined) {
                this.emitter.fire(view);
            }
        });
    }

    public current(): ConfigView | undefined {
        const committed = this.source.current();
        if (committed !== undefined && committed.version !== this.view?.version) {
            this.view = { ...committed, settings: applyOverrides(committed.settings, this.daemon) };
        }
        return this.view;
    }
}

function applyOverrides(settings: Settings, daemon: DaemonSettings): Settings {
    const endpoints = Object.entries(settings.endpoints).map(([id, endpoint]) => [
        id,
        { ...endpoint, address: daemon.dial[id] ?? endpoint.address },
    ]);
    return { ...settings, daemon, endpoints: Object.fromEntries(endpoints) as Settings["endpoints"] };
}

/** The address to use for a host's peer server, with overrides applied; undefined for an unknown host. */
export function peerAddressOf(host: HostId, settings: Settings, daemon: DaemonSettings): string | undefined {
    return daemon.dial[host] ?? settings.hosts[host]?.peerAddress;
}
