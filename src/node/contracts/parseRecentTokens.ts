import { z } from 'zod'

interface RecentToken {
  readonly revision: number
  readonly token: string
}

const recentTokensSchema = z.object({ recent: z.array(z.object({ revision: z.number(), token: z.string() })) })

/**
 * Parses the tokens of earlier revisions from a stored contract; returns none if the text is unreadable. A token is a
 * random id of a write, by which a writer that got no response recognizes its own write.
 */
export function parseRecentTokens (text: string): readonly RecentToken[] {
  try {
    return recentTokensSchema.safeParse(JSON.parse(text)).data?.recent ?? []
  } catch {
    return []
  }
}
