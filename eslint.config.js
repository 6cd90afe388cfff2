import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist*/**", "target/**", "journal/**", "node_modules/**"] },
    ...tseslint.configs.strict,
    {
        rules: {
            curly: "error",
            eqeqeq: "error",
            "one-var": ["error", "never"],
            "prefer-arrow-callback": "error",
            "max-lines": ["error", 400],
            "@typescript-eslint/no-non-null-assertion": "error",
            "@typescript-eslint/consistent-type-definitions": "off",
            "@typescript-eslint/unified-signatures": "off",
        },
    },
    {
        files: ["src/core/**/*.ts"],
        ignores: ["src/core/**/*.test.ts"],
        rules: {
            "no-restricted-imports": ["error", { patterns: ["../*", "node:net", "node:timers*", "node:fs*"] }],
            "no-restricted-properties": [
                "error",
                { object: "Date", property: "now" },
                { object: "Math", property: "random" },
                { object: "performance", property: "now" },
            ],
            "no-restricted-globals": ["error", "setTimeout", "setInterval", "process"],
        },
    },
    {
        files: ["**/*.cjs"],
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
    {
        files: ["**/*.test.ts"],
        rules: { "@typescript-eslint/no-unused-expressions": "off" },
    },
);
