/**
 * Decodes the statuses that hosts publish in the store. Only their structure is
 * checked: a relay reads the statuses of all hosts each second.
 */
import type * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";

/** Value of an entry. */
export interface PublishedStatuses {
  /** How other relays reach the publishing host; absent if it is no relay. */
  readonly contact?: store.RoleContact;
  readonly statuses: readonly core.HostStatus[];
  /** Software versions of the services as the host sees them; absent from hosts of earlier versions. */
  readonly versions?: core.PublishedViews;
  /** Marks of suspects that the publishing host knows, its own and others'; absent from hosts of earlier versions. */
  readonly known?: readonly core.SuspectMark[];
}

/**
 * Decodes an entry; the error names the first field that no host writes so.
 *
 * @example
 * const { statuses } = parsePublished(entry.value).unwrap();
 */
export function parsePublished(
  value: string,
): utils.Result<PublishedStatuses, string> {
  const parsed = utils.parseJson(value);
  if (!isRecord(parsed)) return utils.Err("not a JSON object");
  const { contact, statuses, versions, known } = parsed;
  if (contact !== undefined && !store.isContact(contact)) {
    return utils.Err("contact: cannot be called");
  }
  if (!isListOf(statuses, isStatus)) return utils.Err("statuses: malformed");
  if (versions !== undefined && !isRecordOf(versions, isRecord)) {
    return utils.Err("versions: malformed");
  }
  if (known !== undefined && !isListOf(known, isMark)) {
    return utils.Err("known: malformed");
  }
  return utils.Ok(parsed as unknown as PublishedStatuses);
}

function isStatus(value: unknown): boolean {
  return isRecord(value) && typeof value.host === "string" &&
    typeof value.incarnation === "string" && Number.isFinite(value.at) &&
    isRecordOf(value.demand, isRecord) && isRecord(value.running) &&
    isRecord(value.prompting) && isRecordOf(value.usage, isRecord) &&
    isListOf(value.suspects, isMark) &&
    [value.wrongLosses, value.answeredRequests, value.answeredParts]
      .every((times) => times === undefined || isRecordOf(times, isTime));
}

function isMark(value: unknown): boolean {
  return isRecord(value) && typeof value.fingerprint === "string" &&
    typeof value.server === "string" &&
    (value.at === undefined || isTime(value.at));
}

function isTime(value: unknown): boolean {
  return Number.isFinite(value);
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isRecordOf(
  value: unknown,
  isOne: (one: unknown) => boolean,
): boolean {
  return isRecord(value) && Object.values(value).every(isOne);
}

function isListOf(value: unknown, isOne: (one: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isOne);
}
