/** Lines of docs/CAPACITY.md between which the tables stand. */
export const pageMarkers = { start: "<!-- tables: npm run bench:capacity -->", end: "<!-- end of tables -->" };
