/** Value of a formula of names and numbers joined by `*`, `/` and `+`. Throws on a name that is not known. */
export function evaluate(formula: string, quantities: ReadonlyMap<string, number>): number {
    return formula.split("+").reduce((sum, product) => sum + evaluateProduct(product, quantities), 0);
}

function evaluateProduct(product: string, quantities: ReadonlyMap<string, number>): number {
    const parts = product.trim().split(/\s*([*/])\s*/);
    let result = valueOf(parts[0] as string, quantities);
    for (let index = 1; index < parts.length; index += 2) {
        const operand = valueOf(parts[index + 1] as string, quantities);
        result = parts[index] === "*" ? result * operand : result / operand;
    }
    return result;
}

function valueOf(text: string, quantities: ReadonlyMap<string, number>): number {
    const value = quantities.get(text) ?? Number(text);
    if (text === "" || Number.isNaN(value)) {
        throw new Error(`the formula names "${text}", which is no quantity; add it to fleetSizes or to the slopes`);
    }
    return value;
}
