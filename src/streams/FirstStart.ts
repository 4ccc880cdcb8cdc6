/**
 * Tells whether the whole fleet has started for the first time with this process, so that no stream is older. Settings
 * alone do not prove that: a process may start again with those of the first start. Then the fleet has a deployment,
 * which operators send to it only once it runs.
 */
import type { FleetSource } from "../fleet/Types.js";

export class FirstStart {
    private hasSeenNoDeployment = false;
    private isRefuted = false;

    public constructor(fleet: FleetSource, private readonly isFirstStart: boolean) {
        fleet.onChange(({ deployment }) => {
            this.hasSeenNoDeployment ||= deployment === undefined;
            this.isRefuted ||= !this.hasSeenNoDeployment;
        });
    }

    public get isProven(): boolean {
        return this.isFirstStart && !this.isRefuted;
    }
}
