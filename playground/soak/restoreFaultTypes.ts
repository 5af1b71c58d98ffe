/**
 * Returns of the store from an older copy: alone, beside the loss of one host as the store goes away, and beside the loss of
 * all hosts but one as it comes back.
 */
export const restoreFaultTypes = ['store-restored', 'store-restored-beside-host', 'store-restored-beside-hosts'] as const
