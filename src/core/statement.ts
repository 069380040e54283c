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

const readWords = new Set(['select', 'show', 'describe', 'desc', 'explain', 'with', 'values', 'table', 'help']);
const recordableWords = new Set(['insert', 'update', 'delete', 'replace']);
const transactionWords = new Map<string, Statement['transaction']>([
	['begin', 'begin'], ['start', 'begin'], ['commit', 'commit'], ['rollback', 'rollback'],
]);

const implicitCommitPattern = /^\s*(?:alter|analyze|create(?!\s+temporary)|drop(?!\s+temporary)|flush|grant|install|lock|optimize|rename|repair|revoke|truncate|uninstall|unlock)\b/iv;

/** Text in which nothing has a meaning: quoted strings and names, and comments. */
const opaquePattern = /'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"|`(?:[^`]|``)*`|\/\*[\s\S]*?\*\/|--\s[^\n]*|#[^\n]*/gv;
/** Parts of a read that lock rows, write a file or variable, or change data in a common table expression. */
const writingPattern = /\b(?:for\s+(?:update|share)|lock\s+in|into|insert|update|delete|get_lock|release_lock|nextval|sleep)\b/iv;

/**
Classifies one statement.

Errors: `directive` for several statements in one text, which would let a write travel as a read, and for text that
the quoting rules leave open.

@example
```
statement.classify('SELECT balance FROM account');
//=> right({kind: 'read', transaction: 'none', isRecordable: false})
```
*/
export function classify(sql: string): errors.Outcome<Statement> {
	const plain = sql.replaceAll(opaquePattern, match => match.startsWith('\'') || match.startsWith('"') ? '\'\'' : ' ').trim();
	if (/;\s*\S/v.test(plain)) {
		return errors.fail('directive', 'parse', '', 'several statements in one request are not supported');
	}

	if (/\/\*|["`]|'(?!')/v.test(plain.replaceAll('\'\'', ''))) {
		return errors.fail('directive', 'parse', '', 'a quote or comment in the statement does not end');
	}

	const word = /^[\s\(]*(?<word>[a-z]+)/iv.exec(plain)?.groups?.word?.toLowerCase() ?? '';
	if (word === 'use') {
		return errors.fail('directive', 'parse', '', 'USE is not supported: the default database would stay on a pooled connection');
	}

	if (/^(?:commit|rollback)\b.*\band\s+chain\b/isv.test(plain)) {
		return errors.fail('directive', 'parse', '', 'AND CHAIN is not supported: it would open a transaction on a connection that is given back');
	}

	const transaction = transactionWords.get(word) ?? 'none';
	const isRead = readWords.has(word) && !writingPattern.test(plain);
	return Either.right({
		kind: isRead ? 'read' : 'write',
		transaction: /^rollback\s+to\b/iv.test(plain) ? 'none' : transaction,
		isRecordable: recordableWords.has(word),
	});
}

/**
Whether MySQL commits the open transaction when it executes this statement.

@example
```
statement.commitsImplicitly('CREATE TABLE account (id BIGINT)'); //=> true
```
*/
export function commitsImplicitly(sql: string): boolean {
	return implicitCommitPattern.test(sql.replaceAll(opaquePattern, ' '));
}
