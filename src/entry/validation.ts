/**
Checks of single values that other processes wrote to the store or passed on. An invalid value is left out with the reason,
so that it doesn't stop the values beside it.
*/

/** What a validator found at one place of a value. */
type Issue = {readonly instancePath: string; readonly keyword: string; readonly message?: string};

/** A validator generated from a schema; `errors` says why the last value was invalid. */
export type Validator<T> = {
	(value: unknown): value is T;
	errors?: readonly Issue[] | null;
};

/**
A valid value with an empty `fault`, or `undefined` and the reason why the value is invalid. `omitted` says which parts of a
valid value were left out, and why.
*/
export type Checked<T> = {readonly value: T | undefined; readonly fault: string; readonly omitted?: readonly string[]};

/**
Checks a value against a schema.

@example
```
validation.check(validators.validateAnnouncement, {}).fault; //=> "value must have required property 'place'"
```
*/
export function check<T>(validate: Validator<T>, value: unknown): Checked<T> {
	if (validate(value)) {
		return {value, fault: ''};
	}

	return {value: undefined, fault: (validate.errors ?? []).map(issue => format(issue)).join('; ')};
}

function format({instancePath, keyword, message}: Issue): string {
	const place = instancePath === '' ? 'value' : instancePath;
	return `${place} ${keyword === 'pattern' || message === undefined ? 'is invalid' : message}`;
}
