/** Evaluates a formula of quantity names and numbers joined by `*`, `/` and `+`. Throws on an unknown name. */
export function evaluate(formula: string, quantities: ReadonlyMap<string, number>): number {
    return formula.split("+").reduce((sum, product) => sum + evaluateProduct(product, quantities), 0);
}

function evaluateProduct(product: string, quantities: ReadonlyMap<string, number>): number {
    const parts = product.trim().split(/\s*([*/])\s*/);
    let result = resolveOperand(parts[0] as string, quantities);
    for (let index = 1; index < parts.length; index += 2) {
        const operand = resolveOperand(parts[index + 1] as string, quantities);
        result = parts[index] === "*" ? result * operand : result / operand;
    }
    return result;
}

function resolveOperand(text: string, quantities: ReadonlyMap<string, number>): number {
    const value = quantities.get(text) ?? Number(text);
    if (text === "" || Number.isNaN(value)) {
        throw new Error(
            `formula contains "${text}", which is neither a number nor a known quantity; add it to fleetSizes or measureSlopes`,
        );
    }
    return value;
}
