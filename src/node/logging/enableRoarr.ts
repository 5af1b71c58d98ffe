// Roarr decides while it loads, by this variable, whether it logs at all. The logger's own level
// decides here, so the variable is set for this process before roarr is loaded.
process.env.ROARR_LOG = 'true'
