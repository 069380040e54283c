/**
Line numbers of the sections and keys of an INI text, and validation of what the `ini` library silently accepts.
*/

/** A line, counted from 1, with a key, or with a section header if `key` is undefined. */
export type Line = {readonly number: number; readonly section: readonly string[]; readonly key: string | undefined};

/** A validation issue at a line. */
export type Issue = Line & {readonly message: string};

/** The lines with a key or a section header, and their issues. */
export type Layout = {readonly lines: readonly Line[]; readonly issues: readonly Issue[]};

const lineBreakPattern = /\r\n|\r|\n/v;
const headerPattern = /^\[(?<name>[^\]]*)\]\s*$/v;
const namePattern = /^[A-Za-z0-9_\-]{1,64}$/v;

/**
Parses the layout of an INI text.

Names of inherited properties, such as `__proto__` or `constructor`, are rejected, because a lookup would find the
inherited property. Names with a dot or a backslash are rejected, because the library splits names there.

@example
```
const {issues} = lines.parse('[host]\nname = a\nname = b\n');
//=> [{number: 3, section: ['host'], key: 'name', message: 'also stands in line 2'}]
```
*/
export function parse(text: string): Layout {
	const entries: Line[] = [];
	const issues: Issue[] = [];
	const seen = new Map<string, number>();
	let section: readonly string[] = [];
	for (const [index, content] of stripByteOrderMark(text).split(lineBreakPattern).entries()) {
		const trimmed = content.trim();
		if (trimmed === '' || trimmed.startsWith(';') || trimmed.startsWith('#')) {
			continue;
		}

		const header = headerPattern.exec(content)?.groups?.name;
		const equals = content.indexOf('=');
		const key = header === undefined ? content.slice(0, equals === -1 ? undefined : equals).trim() : undefined;
		section = header === undefined ? section : header.trim().split('.');
		const line = {number: index + 1, section, key};
		const message = key === undefined
			? checkSection(section)
			: checkKey(key, equals === -1 ? undefined : content.slice(equals + 1).trim());
		const identity = JSON.stringify([section, key]);
		const firstLine = seen.get(identity);
		entries.push(line);
		if (message !== undefined) {
			issues.push({...line, message});
		} else if (firstLine === undefined) {
			seen.set(identity, line.number);
		} else {
			issues.push({...line, message: `also stands in line ${firstLine}`});
		}
	}

	return {lines: entries, issues: [...issues, ...findConflicts(entries)]};
}

/**
Moves outer sections before inner ones. The library drops inner sections that precede their outer section.

@example
```
lines.sortSections('[a.b]\nx = 1\n[a]\ny = 2'); //=> '[a]\ny = 2\n[a.b]\nx = 1'
```
*/
export function sortSections(text: string): string {
	const blocks: Array<{depth: number; content: string[]}> = [{depth: 0, content: []}];
	for (const content of stripByteOrderMark(text).split(lineBreakPattern)) {
		const header = headerPattern.exec(content)?.groups?.name;
		if (header !== undefined) {
			blocks.push({depth: header.split('.').length, content: []});
		}

		blocks.at(-1)?.content.push(content);
	}

	return blocks.toSorted((left, right) => left.depth - right.depth).flatMap(({content}) => content).join('\n');
}

/** Removes the byte order mark that some editors write. */
function stripByteOrderMark(text: string): string {
	return text.startsWith('\uFEFF') ? text.slice(1) : text;
}

function checkSection(section: readonly string[]): string | undefined {
	const invalidName = section.find(name => !isValidName(name));
	return invalidName === undefined ? undefined : `holds the name "${invalidName}", which is reserved or does not consist of 1 to 64 letters, digits, _ or -`;
}

function checkKey(key: string, value: string | undefined): string | undefined {
	if (key.startsWith('[')) {
		return 'is a section header that does not end with ]';
	}

	if (key.endsWith('[]')) {
		return 'is an array; a key takes only one value';
	}

	if (!isValidName(key)) {
		return 'is reserved or does not consist of 1 to 64 letters, digits, _ or -';
	}

	return value === undefined ? 'has no value; write key = value' : checkValue(value);
}

/** Returns a message that omits the value, since it may be a password. */
function checkValue(value: string): string | undefined {
	const quote = value.at(0);
	if (quote !== '"' && quote !== '\'') {
		// Without a space before it, ; or # was probably meant as part of the value rather than as a comment.
		return /(?<!\\)[^\s\\][;#]/v.test(value) ? 'contains ; or #, which would start a comment; put the value in double quotes' : undefined;
	}

	if (value.length < 2 || value.at(-1) !== quote) {
		return 'begins with a quote but does not end with it';
	}

	const inner = parseJson(quote === '"' ? value : value.slice(1, -1));
	if (quote === '"') {
		return typeof inner === 'string' ? undefined : 'is not a valid quoted value; inside double quotes write \\" and \\\\';
	}

	// The library parses the text inside single quotes as JSON if it can, so '1e3' would become 1000.
	return inner === undefined ? undefined : 'would be parsed as JSON in single quotes; use double quotes';
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

function isValidName(name: string): boolean {
	return namePattern.test(name) && !(name in Object.prototype);
}

/** Finds keys that are also the name of a section; the library drops them. */
function findConflicts(entries: readonly Line[]): Issue[] {
	const sections = new Set<string>();
	for (const {section} of entries) {
		for (let length = 1; length <= section.length; length++) {
			sections.add(JSON.stringify(section.slice(0, length)));
		}
	}

	return entries
		.filter(({section, key}) => key !== undefined && sections.has(JSON.stringify([...section, key])))
		.map(line => ({...line, message: 'is the name of a section and cannot be a key'}));
}
