import type { ConfigView } from "../../core/config/ConfigView.js";
import type { ConfigChange } from "../../schema/config/ConfigChange.js";
import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import { listConfigObjects } from "./listConfigObjects.js";

type Operations = ConfigChange["operations"];

/**
 * Returns the validation errors that a change would add to the configuration, such as references to undefined classes. Errors that
 * the configuration already has are left out, so that they do not block an unrelated change.
 */
export function validateConfigChange(view: ConfigView, operations: Operations): string[] {
    const existingErrors = new Set(findAllErrors(listConfigObjects(view, undefined)));
    return findAllErrors(applyOperations(view, operations)).filter(error => !existingErrors.has(error));
}

function findAllErrors(objects: readonly ConfigObject[]): string[] {
    const classNames = new Set(listNames(objects, "serviceClass"));
    const services = new Set(objects.flatMap(object => object.kind === "pool" ? object.value.services : []));
    return objects.flatMap(object => findErrors(object, classNames, services));
}

function applyOperations(view: ConfigView, operations: Operations): ConfigObject[] {
    const objects = new Map(listConfigObjects(view, undefined).map(object => [`${object.kind}/${object.value.name}`, object]));
    for (const operation of operations) {
        if (operation.op === "put") {
            objects.set(`${operation.object.kind}/${operation.object.value.name}`, operation.object);
        }
        else {
            objects.delete(`${operation.kind}/${operation.name}`);
        }
    }
    return [...objects.values()];
}

function listNames(objects: readonly ConfigObject[], kind: ConfigObject["kind"]): string[] {
    return objects.filter(object => object.kind === kind).map(object => object.value.name);
}

function findErrors(object: ConfigObject, classNames: ReadonlySet<string>, services: ReadonlySet<string>): string[] {
    const subject = `${object.kind} ${object.value.name}`;
    switch (object.kind) {
        case "customer": {
            const { classes, defaultClass } = object.value;
            return [
                ...classes.filter(name => !classNames.has(name)).map(name =>
                    `${subject}: service class ${name} is not defined; add it to the change`
                ),
                ...classes.includes(defaultClass)
                    ? []
                    : [`${subject}: defaultClass ${defaultClass} is not among its classes; add it to classes`],
            ];
        }
        case "pathShare": {
            const { name, service, serviceClass } = object.value;
            return [
                ...name === `${service}/${serviceClass}`
                    ? []
                    : [`${subject}: the name must be ${service}/${serviceClass}; rename the path share`],
                ...classNames.has(serviceClass) ? [] : [`${subject}: service class ${serviceClass} is not defined; add it to the change`],
                ...services.has(service) ? [] : [`${subject}: no pool serves ${service}; add such a pool to the change`],
            ];
        }
        case "pool": {
            const ids = object.value.upstreams.map(upstream => upstream.id);
            return ids.filter((id, index) => ids.indexOf(id) !== index).map(id =>
                `${subject}: upstream id ${id} is used more than once; make the ids unique`
            );
        }
        default:
            return [];
    }
}
