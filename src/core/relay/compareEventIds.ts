const decimalInteger = /^\d+$/;

/**
 * Compares two event ids like a function for sorting. Decimal integers of any length are compared by value; among other ids, which have no known
 * order, every id that differs from `right` counts as later.
 */
export function compareEventIds(left: string, right: string): number {
    if (!decimalInteger.test(left) || !decimalInteger.test(right)) {
        return left === right ? 0 : 1;
    }
    // Compared as text, as numbers are exact only up to 2^53.
    const [leftDigits, rightDigits] = [stripLeadingZeros(left), stripLeadingZeros(right)];
    if (leftDigits.length !== rightDigits.length) {
        return leftDigits.length - rightDigits.length;
    }
    return leftDigits === rightDigits ? 0 : leftDigits < rightDigits ? -1 : 1;
}

function stripLeadingZeros(digits: string): string {
    return digits.replace(/^0+(?=\d)/, "");
}
