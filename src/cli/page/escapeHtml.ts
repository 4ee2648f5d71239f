const entities: Readonly<Record<string, string>> = { "&": "&amp;", "<": "&lt;", ">": "&gt;", '"': "&quot;", "'": "&#39;" };

/** Escapes text for HTML content and quoted attribute values. */
export function escapeHtml(text: string): string {
    return text.replace(/[&<>"']/g, character => entities[character] ?? character);
}
