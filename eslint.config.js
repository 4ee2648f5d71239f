import tseslint from "typescript-eslint";
import { oneExport } from "./scripts/eslint-one-export.js";

export default tseslint.config(
    { ignores: ["node_modules", "dist", "target", "out", "**/generated/**"] },
    ...tseslint.configs.strict,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true } },
        plugins: { local: { rules: { "one-export": oneExport } } },
        rules: {
            "local/one-export": "error",
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "Use undefined, not null." }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "default", format: null, leadingUnderscore: "forbid" },
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/no-redeclare": "off",
            "@typescript-eslint/no-non-null-assertion": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-extraneous-class": "off",
            "@typescript-eslint/no-invalid-void-type": "off",
            "@typescript-eslint/unified-signatures": "off",
        },
    },
    {
        files: ["**/*.test.ts", "proof/**/*.crowds.ts"],
        rules: { "@typescript-eslint/no-floating-promises": "off", "@typescript-eslint/no-non-null-assertion": "off" },
    },
);
