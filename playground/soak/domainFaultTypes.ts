/** Orders of the operator for a failure domain: `domain-evacuated` sends it no requests until the order is taken back. */
export const domainFaultTypes = ['domain-evacuated'] as const
