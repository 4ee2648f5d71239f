/** Marker lines in docs/CAPACITY.md; the rendered tables are written between them. */
export const pageMarkers = { start: "<!-- tables: npm run bench:capacity -->", end: "<!-- end of tables -->" };
