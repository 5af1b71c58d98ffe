import { z } from 'zod'

interface RecentToken {
  readonly revision: number
  readonly token: string
}

const recentTokensSchema = z.object({ recent: z.array(z.object({ revision: z.number(), token: z.string() })) })

/** The tokens of earlier revisions that a stored contract carries. */
export function parseRecentTokens (text: string): readonly RecentToken[] {
  try {
    return recentTokensSchema.safeParse(JSON.parse(text)).data?.recent ?? []
  } catch {
    return []
  }
}
