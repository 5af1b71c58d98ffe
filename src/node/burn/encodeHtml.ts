const entities: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

/** Escapes text for use in HTML content and quoted attributes. */
export function encodeHtml (text: string): string {
  return text.replace(/[&<>"']/g, character => entities[character]!)
}
