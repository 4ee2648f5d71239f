/** Lint rule: a file exports at most one name. A schema and the type inferred from it share a name and count as one. */
export const oneExport = {
    meta: {
        type: "problem",
        schema: [],
        messages: { many: "Export one name per file; this file exports {{names}}. Move the others to separate files." },
    },
    create(context) {
        const names = new Set();
        const add = node => {
            if (node.declaration?.declarations) {
                for (const declarator of node.declaration.declarations) {
                    names.add(declarator.id.name);
                }
            }
            else if (node.declaration?.id) {
                names.add(node.declaration.id.name);
            }
            for (const specifier of node.specifiers ?? []) {
                names.add(specifier.exported.name);
            }
        };
        return {
            ExportNamedDeclaration: add,
            "Program:exit"(node) {
                if (names.size > 1) {
                    context.report({ node, messageId: "many", data: { names: [...names].join(", ") } });
                }
            },
        };
    },
};
