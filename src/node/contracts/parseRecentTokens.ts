import { z } from 'zod'

interface RecentToken {
  readonly revision: number
  readonly token: string
}

const recentTokensSchema = z.object({ recent: z.array(z.object({ revision: z.number(), token: z.string() })) })

/** Parses the write tokens of earlier revisions from a stored contract; returns none if the text is unreadable. */
export function parseRecentTokens (text: string): readonly RecentToken[] {
  try {
    return recentTokensSchema.safeParse(JSON.parse(text)).data?.recent ?? []
  } catch {
    return []
  }
}
