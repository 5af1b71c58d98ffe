// Roarr reads this variable while it loads and logs nothing without it. The logger filters by its own
// level, so the variable is always set, before roarr is loaded.
process.env.ROARR_LOG = 'true'
