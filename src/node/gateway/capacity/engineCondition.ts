/** How an engine's speed compares with the median of its service: slow at any load, or only with many requests. */
export type EngineCondition = 'usual' | 'slow' | 'slow under load'
