/** The times that a host goes by, none of which its machine's clocks alone give. */
import * as core from "@banyangrade/core";
import type * as utils from "@banyangrade/utils";

/** A host's times. */
export interface HostClocks {
  /** For leases and proofs, which go on while the process is suspended. */
  readonly lease: utils.Clock;
  /** True time of day, Unix ms, whatever the machine's clock says. */
  readonly getTrueTime: () => number;
  /** Takes over what the other hosts published of their time; returns by how much that moved the true time, in ms. */
  readonly updateTrueTime: (word: core.OthersTime) => number;
}

/**
 * Makes them from the machine's clocks.
 *
 * @example
 * const clocks = createHostClocks(utils.SYSTEM_CLOCK);
 */
export function createHostClocks(clock: utils.Clock): HostClocks {
  const suspensions = new core.SuspensionClock();
  const trueClock = new core.TrueClock();
  const readClocks = () => ({ now: clock.now(), wall: clock.wall() });
  return {
    lease: { now: () => suspensions.read(readClocks()), wall: clock.wall },
    getTrueTime: () => trueClock.read(readClocks()),
    updateTrueTime: (word) => trueClock.update(readClocks(), word),
  };
}
