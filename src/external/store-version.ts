/**
 * Versions of stored objects. A store that returns from an older copy of its contents gives out revisions again, so a version
 * consists of the era, which rises with each such return, and the revision: versions of a later era are higher.
 */

/** Revisions of one era; leaves room for 8,192 eras in an integer that JSON carries exactly. */
export const REVISIONS_PER_ERA = 2 ** 40

/** Version of a revision in an era. */
export function storeVersion (era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision
}

/** Era of a version. */
export function eraOf (version: number): number {
  return Math.floor(version / REVISIONS_PER_ERA)
}

/** Revision within its era. */
export function revisionOf (version: number): number {
  return version % REVISIONS_PER_ERA
}
