/**
What a statement is, as far as routing needs to know. Whatever is not surely a read counts as a write.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from './errors.js';

/** The parts of a statement that routing looks at. */
export type Statement = {
	readonly kind: types.RequestKind;
	readonly transaction: Exclude<types.TransactionStep, 'within'>;
	/** Whether it changes rows only, so that a record in the same transaction tells whether it ran. */
	readonly isRecordable: boolean;
};

const readWords = new Set(['select', 'show', 'describe', 'desc', 'explain', 'with', 'values', 'table', 'help', 'use']);
const recordableWords = new Set(['insert', 'update', 'delete', 'replace']);
const transactionWords = new Map<string, Statement['transaction']>([
	['begin', 'begin'], ['start', 'begin'], ['commit', 'commit'], ['rollback', 'rollback'],
]);

/** What begins text in which nothing has a meaning: quoted strings and names, and comments. */
const openerPattern = /['"`#]|\/\*|--\s/gv;
/**
What may end it, or stands for a quote inside it. Each search gives one short match: a pattern for a whole string of
some MB overflows the stack of the search, and 200 KB of an open quote took it 43 s.
*/
const closerPatterns: Readonly<Record<string, RegExp>> = {
	'\'': /\\[\s\S]|''|'/gv,
	'"': /\\[\s\S]|""|"/gv,
	'`': /``|`/gv,
	'/*': /\*\//gv,
};
const lineEndPattern = /\n|$/gv;
/** Longest part of a text in which its first word is looked for. */
const headLength = 4096;
/** Comments whose content MySQL and MariaDB execute. */
const executablePattern = /^\/\*M?!/v;
/** Parts of a read that lock rows, write a file or variable, or change data in a common table expression. */
const writingPattern = /\b(?:for\s+(?:update|share)|lock\s+in|into|insert|update|delete|get_lock|release_lock|nextval|sleep)\b/iv;

/**
Classifies one statement.

Errors: `directive` for several statements in one text or an executable comment, which would let a write travel as a
read, and for text that the quoting rules leave open.

@example
```
statement.classify('SELECT balance FROM account');
//=> right({kind: 'read', transaction: 'none', isRecordable: false})
```
*/
export function classify(sql: string): errors.Outcome<Statement> {
	const {plain, isEnded, isExecutable} = mask(sql);
	if (/;\s*\S/v.test(plain)) {
		return errors.fail('directive', 'parse', '', 'several statements in one request are not supported');
	}

	if (!isEnded) {
		return errors.fail('directive', 'parse', '', 'a quote or comment in the statement does not end');
	}

	if (isExecutable) {
		return errors.fail('directive', 'parse', '', 'comments of the form /*! are not supported: a server executes what they hold');
	}

	const word = /^[\s\(]*(?<word>[a-z]+)/iv.exec(plain.slice(0, headLength))?.groups?.word?.toLowerCase() ?? '';
	const transaction = transactionWords.get(word) ?? 'none';
	const isRead = readWords.has(word) && !writingPattern.test(plain);
	return Either.right({
		kind: isRead ? 'read' : 'write',
		transaction: /^rollback\s+to\b/iv.test(plain) ? 'none' : transaction,
		isRecordable: recordableWords.has(word),
	});
}

/** The statement without the text in which nothing has a meaning; strings become `''`. */
function mask(sql: string): {plain: string; isEnded: boolean; isExecutable: boolean} {
	const parts: string[] = [];
	let isEnded = true;
	let isExecutable = false;
	let from = 0;
	for (let opener = search(openerPattern, sql, 0); opener; opener = search(openerPattern, sql, from)) {
		const [sign] = opener;
		const body = opener.index + sign.length;
		const end = findEnd(sql, sign, body);
		isEnded &&= end !== undefined;
		isExecutable ||= executablePattern.test(sql.slice(opener.index, body + 2));
		parts.push(sql.slice(from, opener.index), sign === '\'' || sign === '"' ? '\'\'' : ' ');
		from = end ?? sql.length;
	}

	parts.push(sql.slice(from));
	return {plain: parts.join('').trim(), isEnded, isExecutable};
}

/** Where the text that `sign` opened ends; undefined if it does not. */
function findEnd(sql: string, sign: string, from: number): number | undefined {
	const pattern = closerPatterns[sign] ?? lineEndPattern;
	let found = search(pattern, sql, from);
	// Escapes and doubled quotes belong to a quoted text; only its own sign ends it.
	while (found && pattern.source.endsWith(`|${sign}`) && found[0] !== sign) {
		found = search(pattern, sql, found.index + found[0].length);
	}

	return found && found.index + found[0].length;
}

function search(pattern: RegExp, text: string, from: number): RegExpExecArray | undefined {
	pattern.lastIndex = from;
	return pattern.exec(text) ?? undefined;
}
