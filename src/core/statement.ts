/**
Classifies SQL statements for routing. A statement that is not provably a read counts as a write. A statement that
depends on or changes the state of its connection is rejected, because connections are shared between sessions.

Quoting follows the rules of MySQL without ANSI_QUOTES and NO_BACKSLASH_ESCAPES in `sql_mode`; backend servers must run
with both off.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from './errors.js';
import * as functions from './functions.js';

/** The properties of a statement that routing depends on. */
export type Statement = {
	readonly kind: types.RequestKind;
	readonly transaction: Exclude<types.TransactionStep, 'within'>;
	/** Whether it changes only rows, so that a request record written in the same transaction shows whether it ran. */
	readonly isRecordable: boolean;
	/** Whether it implicitly commits an open transaction before it runs, as data definition statements do. */
	readonly hasImplicitCommit: boolean;
	/** Connection state that it reads, such as `ROW_COUNT()`; empty if none. Such state is kept only within a transaction. */
	readonly connectionState: string;
};

type Restriction = {readonly pattern: RegExp; readonly reason: string};

const readKeywords = new Set(['select', 'show', 'describe', 'desc', 'explain', 'with', 'values', 'table', 'help']);
const recordableKeywords = new Set(['insert', 'update', 'delete', 'replace']);
const committingKeywords = new Set([
	...'alter analyze cache change check create drop flush grant import install load optimize purge rename'.split(' '),
	...'repair reset restart revoke shutdown start stop truncate uninstall'.split(' '),
]);

/**
Opening delimiters of quoted strings, quoted names and comments. White space is listed explicitly, because `\s` matches
more characters than MySQL treats as white space.
*/
// eslint-disable-next-line no-control-regex -- MySQL treats every control character as white space.
const openingPattern = /['"`#]|\/\*|--(?=[\u0000-\u0020\u007F]|$)/gv;
/**
Closing delimiters, escapes and doubled quotes, by opening delimiter. Each match is a few characters long: a pattern that
matched a whole string of several MB overflowed the stack of the regular expression engine, and 200 KB of an
unterminated quote took it 43 s.
*/
const closingPatterns: Readonly<Record<string, RegExp>> = {
	'\'': /\\[\s\S]|''|'/gv,
	'"': /\\[\s\S]|""|"/gv,
	'`': /``|`/gv,
	'/*': /\*\//gv,
};
/** Placeholders for quoted text that was removed, by opening delimiter; a comment becomes a space. */
const replacements: Readonly<Record<string, string>> = {'\'': '\'\'', '"': '\'\'', '`': '``'};

const lineEndPattern = /[\n\0]|$/gv;
/** Number of leading characters that are searched for the first keyword. */
const maxPrefixChars = 4096;
/**
Comments whose text MySQL or MariaDB executes, and optimizer hints that contain quotes, because a server may find the end
of such a hint elsewhere than this parser.
*/
const executedCommentPattern = /^\/\*(?:M?!|\+[\s\S]*['"`])/v;

/**
Clauses that lock rows, write a file, or change data in a common table expression. The pattern requires no word boundary
before the keyword, because MySQL ends a number such as `1.5` at the first letter that follows it.
*/
const writePattern = /(?<![a-z_$])(?:for\s+(?:update|share)|lock\s+in|into|insert|update|delete|replace(?!\s*\()|procedure)\b/iv;
const functionCallPattern = /(?<![\w$.`])(?<name>[\w$.`]+)\s*\(/gv;
/** Characters outside quotes and comments at which MySQL may split tokens differently from the patterns in this module. */
const ambiguousPattern = /[^\u0020-\u007E\t\r\n]/v;

const transactionPatterns: ReadonlyArray<readonly [RegExp, Statement['transaction']]> = [
	[/^begin(?:\s+work)?\s*;?$/iv, 'begin'],
	[/^start\s+transaction(?:\s+(?:read\s+(?:only|write)|with\s+consistent\s+snapshot)(?:\s*,\s*(?:read\s+(?:only|write)|with\s+consistent\s+snapshot))*)?\s*;?$/iv, 'begin'],
	[/^commit(?:\s+work)?(?:\s+and\s+no\s+chain)?(?:\s+no\s+release)?\s*;?$/iv, 'commit'],
	[/^rollback(?:\s+work)?(?:\s+and\s+no\s+chain)?(?:\s+no\s+release)?\s*;?$/iv, 'rollback'],
];

const restrictions: readonly Restriction[] = [
	{pattern: /^(?:commit|rollback)\b(?!\s+(?:work\s+)?to\b)/iv, reason: 'CHAIN and RELEASE change the connection after the transaction ends'},
	{pattern: /^begin\b/iv, reason: 'only BEGIN or BEGIN WORK opens a transaction'},
	{pattern: /^set\b/iv, reason: 'variables are not kept across pooled connections'},
	{pattern: /^use\b/iv, reason: 'the account determines the database'},
	{pattern: /^(?:prepare|execute|deallocate)\b/iv, reason: 'prepared statements belong to one connection; send the text itself'},
	{pattern: /^(?:(?:un)?lock|handler|flush)\b|(?:^|[^a-z_$])(?:get_lock|release_lock|release_all_locks)\b/iv, reason: 'locks outside transactions belong to one connection'},
	{pattern: /^(?:create|drop)\s+temporary\b/iv, reason: 'temporary tables belong to one connection'},
	{pattern: /^call\b/iv, reason: 'procedures may commit, change the connection and return several result sets'},
	{pattern: /^xa\b/iv, reason: 'distributed transactions outlive their connection'},
	{pattern: /^kill\b/iv, reason: 'connections are shared between sessions'},
	{pattern: /^load\s.*\blocal\b/isv, reason: 'backend servers cannot read files of the caller'},
	{pattern: /(?<!['`@])@(?!@)/v, reason: 'user variables belong to one connection, and account names need quotes'},
];

const connectionStatePatterns: ReadonlyArray<readonly [RegExp, string]> = [
	[/last_insert_id\s*\(/iv, 'LAST_INSERT_ID()'],
	[/found_rows\s*\(/iv, 'FOUND_ROWS()'],
	[/row_count\s*\(/iv, 'ROW_COUNT()'],
	[/^show\s+(?:count\s*\(\s*\*\s*\)\s*)?(?:warnings|errors)\b/iv, 'SHOW WARNINGS'],
	[/^get\s+(?:current\s+|stacked\s+)?diagnostics\b/iv, 'GET DIAGNOSTICS'],
];

/**
Classifies one statement.

Errors: `directive` for several statements in one text, which could route a write as a read; for an unterminated quote or
comment; for comments that a server executes; and for statements that would change the state of a connection.

@example
```
statement.classify('SELECT balance FROM account');
//=> right({kind: 'read', transaction: 'none', isRecordable: false, hasImplicitCommit: false, connectionState: ''})
```
*/
export function classify(sql: string): errors.Outcome<Statement> {
	const stripped = strip(sql);
	if (Either.isLeft(stripped)) {
		return stripped;
	}

	const text = stripped.right;
	const end = text.indexOf(';');
	if (end !== -1 && /[^\s;]/v.test(text.slice(end))) {
		return reject('several statements in one request are not supported');
	}

	const keyword = /^[\s\(]*(?<word>[a-z]+)/iv.exec(text.slice(0, maxPrefixChars))?.groups?.word?.toLowerCase() ?? '';
	const transaction = transactionPatterns.find(([pattern]) => pattern.test(text))?.[1] ?? 'none';
	const restriction = transaction === 'none' ? restrictions.find(({pattern}) => pattern.test(text)) : undefined;
	if (restriction) {
		return reject(`"${text.slice(0, 60)}" is not supported: ${restriction.reason}`);
	}

	return Either.right({
		kind: readKeywords.has(keyword) && isReadOnly(text) ? 'read' : 'write',
		transaction,
		isRecordable: recordableKeywords.has(keyword) || (keyword === 'with' && /\b(?:update|delete)\b/iv.test(text)),
		hasImplicitCommit: transaction === 'none' && committingKeywords.has(keyword),
		connectionState: connectionStatePatterns.find(([pattern]) => pattern.test(text))?.[1] ?? '',
	});
}

/** Removes comments and the text inside quotes. */
function strip(sql: string): errors.Outcome<string> {
	const parts: string[] = [];
	let start = 0;
	for (let opener = search(openingPattern, sql, 0); opener; opener = search(openingPattern, sql, start)) {
		const [delimiter] = opener;
		const end = findEnd(sql, delimiter, opener.index + delimiter.length);
		if (end === undefined) {
			return reject('a quote or comment in the statement does not end');
		}

		if (delimiter === '/*' && executedCommentPattern.test(sql.slice(opener.index, end))) {
			return reject('comments whose text a server executes, and hints with quotes, are not supported');
		}

		parts.push(sql.slice(start, opener.index), replacements[delimiter] ?? ' ');
		start = end;
	}

	parts.push(sql.slice(start));
	return Either.right(parts.join('').trim());
}

/** Returns the index after the closing delimiter; `undefined` if the quote or comment is not terminated. */
function findEnd(sql: string, delimiter: string, start: number): number | undefined {
	const pattern = closingPatterns[delimiter] ?? lineEndPattern;
	let match = search(pattern, sql, start);
	// Escapes and doubled quotes are part of quoted text; only a single delimiter ends it.
	while (match && pattern.source.endsWith(`|${delimiter}`) && match[0] !== delimiter) {
		match = search(pattern, sql, match.index + match[0].length);
	}

	return match && match.index + match[0].length;
}

function search(pattern: RegExp, text: string, start: number): RegExpExecArray | undefined {
	pattern.lastIndex = start;
	return pattern.exec(text) ?? undefined;
}

function isReadOnly(text: string): boolean {
	return !ambiguousPattern.test(text)
		&& !writePattern.test(text)
		&& [...text.matchAll(functionCallPattern)].every(({groups}) => functions.readOnly.has((groups?.name ?? '').toLowerCase()));
}

function reject(message: string): errors.Outcome<never> {
	return errors.fail('directive', 'parse', '', message);
}
