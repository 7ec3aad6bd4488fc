/** The clocks of a host, corrected for suspensions of the process and for steps of the machine's clock. */
import * as core from "@banyangrade/core";
import type * as utils from "@banyangrade/utils";

/** Clocks of a host. */
export interface HostClocks {
  /** Clock for leases and for the age of data; it includes the time for which the process was suspended. */
  readonly lease: utils.Clock;
  /** Returns the corrected time of day, Unix ms, independent of steps of the machine's clock. */
  readonly getTrueTime: () => number;
  /** Corrects the time of day by the times that other hosts published; returns the correction, in ms. */
  readonly updateTrueTime: (times: core.PeerTimes) => number;
}

/**
 * Creates the clocks of a host from the machine's clocks.
 *
 * @example
 * const clocks = createHostClocks(utils.SYSTEM_CLOCK);
 */
export function createHostClocks(clock: utils.Clock): HostClocks {
  const suspensions = new core.SuspensionClock();
  const trueClock = new core.CorrectedClock();
  const readClocks = () => ({ now: clock.now(), wall: clock.wall() });
  return {
    lease: { now: () => suspensions.read(readClocks()), wall: clock.wall },
    getTrueTime: () => trueClock.read(readClocks()),
    updateTrueTime: (times) => trueClock.update(readClocks(), times),
  };
}
