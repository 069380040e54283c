/**
What a statement is, as far as routing needs to know. Whatever is not surely a read counts as a write, and a statement
that needs or changes the state of its connection is refused, because connections are shared between sessions.

The rules of quoting are those of MySQL with neither ANSI_QUOTES nor NO_BACKSLASH_ESCAPES in `sql_mode`, which backend
servers must run with.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from './errors.js';
import * as functions from './functions.js';

/** The parts of a statement that routing looks at. */
export type Statement = {
	readonly kind: types.RequestKind;
	readonly transaction: Exclude<types.TransactionStep, 'within'>;
	/** Whether it changes rows only, so that a record in the same transaction tells whether it ran. */
	readonly isRecordable: boolean;
	/** Whether it commits an open transaction before it runs, as data definition does. */
	readonly isCommitting: boolean;
	/** What it reads of the connection's state, which lasts only inside a transaction; empty if nothing. */
	readonly needs: string;
};

type Refusal = {readonly pattern: RegExp; readonly reason: string};

const readWords = new Set(['select', 'show', 'describe', 'desc', 'explain', 'with', 'values', 'table', 'help']);
const recordableWords = new Set(['insert', 'update', 'delete', 'replace']);
const committingWords = new Set([
	...'alter analyze cache change check create drop flush grant import install load optimize purge rename'.split(' '),
	...'repair reset restart revoke shutdown start stop truncate uninstall'.split(' '),
]);

/**
What begins text in which nothing has a meaning: quoted strings and names, and comments. White space is spelled out,
because MySQL knows less of it than JavaScript.
*/
// eslint-disable-next-line no-control-regex -- MySQL takes every control character for white space.
const openerPattern = /['"`#]|\/\*|--(?=[\u0000-\u0020\u007F]|$)/gv;
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
/** What stands for text that was left out. */
const replacements: Readonly<Record<string, string>> = {'\'': '\'\'', '"': '\'\'', '`': '``'};

const lineEndPattern = /[\n\0]|$/gv;
/** Longest part of a text in which its first word is looked for. */
const headLength = 4096;
/** Comments whose text MySQL or MariaDB executes, and hints that hold quotes, in which a comment may end elsewhere. */
const executedCommentPattern = /^\/\*(?:M?!|\+[\s\S]*['"`])/v;

/**
Parts of a read that lock rows, write a file, or change data in a common table expression. No word boundary before
them, because MySQL ends a number such as `1.5` at the first letter of the next word.
*/
const writingPattern = /(?<![a-z_$])(?:for\s+(?:update|share)|lock\s+in|into|insert|update|delete|replace(?!\s*\()|procedure)\b/iv;
const callPattern = /(?<![\w$.`])(?<name>[\w$.`]+)\s*\(/gv;
/** Text outside quotes and comments that MySQL may divide into words in another way than the patterns here. */
const unusualPattern = /[^\u0020-\u007E\t\r\n]/v;

const transactionPatterns: ReadonlyArray<readonly [RegExp, Statement['transaction']]> = [
	[/^begin(?:\s+work)?\s*;?$/iv, 'begin'],
	[/^start\s+transaction(?:\s+(?:read\s+(?:only|write)|with\s+consistent\s+snapshot)(?:\s*,\s*(?:read\s+(?:only|write)|with\s+consistent\s+snapshot))*)?\s*;?$/iv, 'begin'],
	[/^commit(?:\s+work)?(?:\s+and\s+no\s+chain)?(?:\s+no\s+release)?\s*;?$/iv, 'commit'],
	[/^rollback(?:\s+work)?(?:\s+and\s+no\s+chain)?(?:\s+no\s+release)?\s*;?$/iv, 'rollback'],
];

const refusals: readonly Refusal[] = [
	{pattern: /^(?:commit|rollback)\b(?!\s+(?:work\s+)?to\b)/iv, reason: 'CHAIN and RELEASE change the connection after the transaction'},
	{pattern: /^begin\b/iv, reason: 'only BEGIN or BEGIN WORK opens a transaction'},
	{pattern: /^set\b/iv, reason: 'variables do not last across pooled connections'},
	{pattern: /^use\b/iv, reason: 'the account determines the database'},
	{pattern: /^(?:prepare|execute|deallocate)\b/iv, reason: 'prepared statements belong to one connection; send the text itself'},
	{pattern: /^(?:(?:un)?lock|handler|flush)\b|(?:^|[^a-z_$])(?:get_lock|release_lock|release_all_locks)\b/iv, reason: 'locks outside transactions belong to one connection'},
	{pattern: /^(?:create|drop)\s+temporary\b/iv, reason: 'temporary tables belong to one connection'},
	{pattern: /^call\b/iv, reason: 'procedures may commit, change the connection and return several answers'},
	{pattern: /^xa\b/iv, reason: 'distributed transactions outlast their connection'},
	{pattern: /^kill\b/iv, reason: 'connections are shared between sessions'},
	{pattern: /^load\s.*\blocal\b/isv, reason: 'the servers cannot read a file of the caller'},
	{pattern: /(?<!['`@])@(?!@)/v, reason: 'user variables belong to one connection, and account names need quotes'},
];

const needPatterns: ReadonlyArray<readonly [RegExp, string]> = [
	[/last_insert_id\s*\(/iv, 'LAST_INSERT_ID()'],
	[/found_rows\s*\(/iv, 'FOUND_ROWS()'],
	[/row_count\s*\(/iv, 'ROW_COUNT()'],
	[/^show\s+(?:count\s*\(\s*\*\s*\)\s*)?(?:warnings|errors)\b/iv, 'SHOW WARNINGS'],
	[/^get\s+(?:current\s+|stacked\s+)?diagnostics\b/iv, 'GET DIAGNOSTICS'],
];

/**
Classifies one statement.

Errors: `directive` for several statements in one text, which would let a write travel as a read; for text that the
quoting rules leave open or whose comments are executed; and for statements that would change the state of a connection.

@example
```
statement.classify('SELECT balance FROM account');
//=> right({kind: 'read', transaction: 'none', isRecordable: false, isCommitting: false, needs: ''})
```
*/
export function classify(sql: string): errors.Outcome<Statement> {
	const plain = strip(sql);
	if (Either.isLeft(plain)) {
		return plain;
	}

	const text = plain.right;
	const end = text.indexOf(';');
	if (end !== -1 && /[^\s;]/v.test(text.slice(end))) {
		return refuse('several statements in one request are not supported');
	}

	const word = /^[\s\(]*(?<word>[a-z]+)/iv.exec(text.slice(0, headLength))?.groups?.word?.toLowerCase() ?? '';
	const transaction = transactionPatterns.find(([pattern]) => pattern.test(text))?.[1] ?? 'none';
	const refusal = transaction === 'none' ? refusals.find(({pattern}) => pattern.test(text)) : undefined;
	if (refusal) {
		return refuse(`"${text.slice(0, 60)}" is not supported: ${refusal.reason}`);
	}

	return Either.right({
		kind: readWords.has(word) && isHarmless(text) ? 'read' : 'write',
		transaction,
		isRecordable: recordableWords.has(word) || (word === 'with' && /\b(?:update|delete)\b/iv.test(text)),
		isCommitting: transaction === 'none' && committingWords.has(word),
		needs: needPatterns.find(([pattern]) => pattern.test(text))?.[1] ?? '',
	});
}

/** The statement without comments and without the text inside quotes. */
function strip(sql: string): errors.Outcome<string> {
	const parts: string[] = [];
	let from = 0;
	for (let opener = search(openerPattern, sql, 0); opener; opener = search(openerPattern, sql, from)) {
		const [sign] = opener;
		const end = findEnd(sql, sign, opener.index + sign.length);
		if (end === undefined) {
			return refuse('a quote or comment in the statement does not end');
		}

		if (sign === '/*' && executedCommentPattern.test(sql.slice(opener.index, end))) {
			return refuse('comments whose text a server executes, and hints with quotes, are not supported');
		}

		parts.push(sql.slice(from, opener.index), replacements[sign] ?? ' ');
		from = end;
	}

	parts.push(sql.slice(from));
	return Either.right(parts.join('').trim());
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

function isHarmless(text: string): boolean {
	return !unusualPattern.test(text)
		&& !writingPattern.test(text)
		&& [...text.matchAll(callPattern)].every(({groups}) => functions.harmless.has((groups?.name ?? '').toLowerCase()));
}

function refuse(message: string): errors.Outcome<never> {
	return errors.fail('directive', 'parse', '', message);
}
