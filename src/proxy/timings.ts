/** Times that hosts agree on, or that follow from the intervals at which the store is read. */

/**
 * Age up to which a proof of the records is valid: three polls of the store, of which one may be lost. A replacement of
 * a primary waits at most this long for hosts that can't be reached.
 */
export const maxProofAgeMs = 1_500;
/** Time that statements in flight at a primary being replaced get to finish; covers several statements. */
export const handoverGraceMs = 150;
/** Time for which a missing endpoint is kept; after an outage, entries return within two seconds. */
export const missingGraceMs = 2_500;
/** Gap between endpoint listings that counts as an outage: two listings lost. */
export const outageGapMs = 2_500;
