/** Style sheet of the burn report page, with a light and a dark color scheme. */
export const burnStyle = `
:root { color-scheme: light dark; --text: #1c1e21; --dim: #5f6670; --line: #d9dce1; --back: #ffffff; --card: #f6f7f9; --good: #2f7d4f; --warn: #b06a00; --bad: #b3261e; --bar: #8fb3d9; }
@media (prefers-color-scheme: dark) {
  :root { --text: #e8eaed; --dim: #a0a7b1; --line: #3a3f47; --back: #17191c; --card: #202327; --good: #6fc08f; --warn: #e2a33f; --bad: #ff8a80; --bar: #4d6f94; }
}
body { margin: 2rem auto; max-width: 76rem; padding: 0 1rem; font: 15px/1.45 system-ui, sans-serif; color: var(--text); background: var(--back); }
h1 { font-size: 1.5rem; margin: 0; }
h2 { font-size: 1.15rem; margin: 2.2rem 0 .6rem; }
p { margin: .3rem 0; }
.dim { color: var(--dim); }
.notice { border-left: 4px solid var(--warn); padding: .3rem .8rem; background: var(--card); }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { padding: .35rem .6rem; border-bottom: 1px solid var(--line); text-align: right; white-space: nowrap; }
th { font-weight: 600; color: var(--dim); font-size: .85rem; }
th:nth-child(-n+2), td:nth-child(-n+2) { text-align: left; }
.good { color: var(--good); }
.warn { color: var(--warn); font-weight: 600; }
.bad { color: var(--bad); font-weight: 600; }
.cards { display: grid; grid-template-columns: repeat(auto-fill, minmax(22rem, 1fr)); gap: 1rem; }
.card { background: var(--card); border: 1px solid var(--line); border-radius: 6px; padding: .8rem 1rem; }
.card h3 { margin: 0 0 .3rem; font-size: 1rem; }
.card dl { display: grid; grid-template-columns: auto 1fr; gap: .1rem .8rem; margin: .5rem 0 0; font-size: .9rem; }
.card dt { color: var(--dim); }
.card dd { margin: 0; overflow-wrap: anywhere; }
svg { display: block; width: 100%; height: auto; }
svg text { fill: var(--dim); font-size: 10px; }
.total { fill: var(--bar); }
.missed { fill: var(--bad); }
.axis { stroke: var(--line); }
`
