import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as Either from 'fp-ts/lib/Either.js';
import * as statement from '../statement.js';

const seed = 20_260_704;

function kindOf(sql: string): string {
	const outcome = statement.classify(sql);
	return Either.isRight(outcome) ? outcome.right.kind : 'refused';
}

/**
Returns the part of a text that MySQL executes, without quoted text and comments; `undefined` if a quote or comment does
not end. It reads one character at a time instead of using regular expressions, so that it does not share a mistake with
the classifier's patterns.
*/
function lex(sql: string): string | undefined {
	let plain = '';
	let index = 0;
	while (index < sql.length) {
		const character = sql[index] ?? '';
		const next = sql[index + 1] ?? '';
		const third = sql[index + 2] ?? '';
		if (character === '\'' || character === '"' || character === '`') {
			index++;
			while (index < sql.length && (sql[index] !== character || sql[index + 1] === character)) {
				index += sql[index] === character || (sql[index] === '\\' && character !== '`') ? 2 : 1;
			}

			if (index >= sql.length) {
				return undefined;
			}

			index++;
			plain += ' ';
		} else if (character === '#' || (character === '-' && next === '-' && (third === '' || third.codePointAt(0)! <= 32))) {
			while (index < sql.length && sql[index] !== '\n') {
				index++;
			}
		} else if (character === '/' && next === '*' && third !== '!') {
			const end = sql.indexOf('*/', index + 2);
			if (end === -1) {
				return undefined;
			}

			index = end + 2;
			plain += ' ';
		} else {
			plain += character;
			index++;
		}
	}

	return plain;
}

const fragment = fc.constantFrom('\'', '"', '`', '\\', '/*', '*/', '/*!', '/*+', '--', '#', '\n', '\r', '\u0001', '\u00A0', ' ', ' ', ';', '-', '*', '(', ')', '!', 'select', 'with', 'x', '1', '1.5', '1e1', 'é', 'delete', 'into', 'for update', 'update', 'insert', 'replace', 'touch(');

// Guards against text that hides a write from the classifier but not from the server, so that the write reaches a replica.
test.test('a text with a write outside quotes and comments is not a read, and several statements are rejected', () => {
	fc.assert(fc.property(fc.constantFrom('select ', 'with ', 'explain ', '(select '), fc.array(fragment, {maxLength: 24}), (start, parts) => {
		const sql = start + parts.join('');
		const plain = lex(sql)?.toLowerCase();
		const holdsWrite = plain !== undefined && ['delete', 'into', 'for update', 'insert', 'touch('].some(word => new RegExp(String.raw`(?<![a-zé_\u00A0])${word.replace('(', String.raw`\(`)}(?![\wé\u00A0])`, 'v').test(plain));
		const holdsSeveral = plain !== undefined && /;[\s;]*[^\s;]/v.test(plain.replaceAll('/*!', ''));
		const kind = kindOf(sql);
		assert.ok(!((holdsWrite || holdsSeveral) && kind === 'read'), `${JSON.stringify(sql)} is a read`);
		assert.ok(!(holdsSeveral && kind !== 'refused'), `${JSON.stringify(sql)} is not refused`);
		assert.ok(plain !== undefined || kind === 'refused', `${JSON.stringify(sql)} does not end its quotes`);
	}), {seed, numRuns: 20_000});
});

// Guards against a classifier that passes the test above by classifying everything as a write.
test.test('a read is classified as a read, whatever its quotes and comments contain', () => {
	const word = fc.constantFrom('delete', 'into', 'x', ';', 'é', ' ', '/', '\n', '(');
	const inside = fc.array(word, {maxLength: 6}).map(words => words.join(''));
	const opaque = fc.oneof(inside.map(text => `'${text}'`), inside.map(text => `"${text}\\""`), inside.map(text => `'it''s \\' ${text}'`), inside.map(text => `\`${text}\``), inside.map(text => `/* ${text}*/ 1`), inside.map(text => `1 -- ${text.replaceAll('\n', '')}\n`), inside.map(text => `1 #${text.replaceAll('\n', '')}\n`));
	fc.assert(fc.property(fc.array(opaque, {minLength: 1, maxLength: 4}), parts => {
		const sql = `SELECT ${parts.join(', ')} FROM t WHERE lower(a) IN (1)`;
		assert.equal(kindOf(sql), 'read', JSON.stringify(sql));
	}), {seed, numRuns: 2000});
});

const expected: Record<string, readonly string[]> = {
	read: [
		'SELECT 1',
		'(SELECT 1) UNION (SELECT 2)',
		'WITH c AS (SELECT 1) SELECT * FROM c',
		'TABLE t',
		'VALUES ROW(1)',
		'SELECT 1;',
		'SELECT @@version_comment',
		'SELECT /*+ MAX_EXECUTION_TIME(10) */ 1',
		'SELECT replace(a, 1, 2) FROM t',
		'SHOW TABLES',
		'EXPLAIN SELECT 1',
		'SELECT count(*) FROM t USE INDEX (i)',
	],
	write: [
		'SELECT * FROM t FOR UPDATE',
		'SELECT 1 FROM t WHERE a = 1.5FOR UPDATE',
		'SELECT a FROM t LOCK IN SHARE MODE',
		'SELECT a INTO OUTFILE \'f\' FROM t',
		'WITH c AS (SELECT 1) UPDATE t SET a = 1',
		'SELECT pay(1)',
		'SELECT `pay`(1)',
		'SELECT fund.lower(1)',
		'EXPLAIN ANALYZE UPDATE t SET a = 1',
		'DO pay(1)',
		'CREATE TABLE t (a INT)',
		'SELECT sleep(1)',
		'SELECT 1 --\nINTO OUTFILE \'f\'',
		'ROLLBACK WORK TO s',
		'SELECT last_insert_id(5)',
		'GRANT SELECT ON t TO \'a\'@\'h\'',
		'START REPLICA',
		'SAVEPOINT s',
		'EXPLAIN REPLACE t VALUES (1)',
	],
	refused: [
		'SELECT 1; DELETE FROM t',
		'SELECT 1 /*! ; */',
		'SELECT /*!50000 1 INTO OUTFILE \'f\' */',
		'SELECT 1 /*M! INTO */',
		'SELECT \'a',
		'SELECT /* 1',
		'SELECT @a',
		'SELECT@a',
		'SELECT 1 INTO @a',
		'SET @a = 1',
		'/* c */ SET @a = 1',
		'USE other',
		'PREPARE p FROM \'DELETE FROM t\'',
		'EXECUTE p',
		'LOCK TABLES t READ',
		'UNLOCK TABLES',
		'HANDLER t OPEN',
		'KILL 1',
		'CREATE TEMPORARY TABLE t (a INT)',
		'CALL group_promote(9, \'x\')',
		'SELECT get_lock(\'a\', 1)',
		'COMMIT AND CHAIN',
		'ROLLBACK RELEASE',
		'XA START \'x\'',
		'LOAD DATA LOCAL INFILE \'f\' INTO TABLE t',
		'SELECT /*+ QB_NAME(`a*/ `) */ 1',
		'SELECT 1 --\n; DELETE FROM t',
		'FLUSH TABLES WITH READ LOCK',
	],
};

// Guards against statements that leave state on a shared connection, and against writes that are routed to a replica.
test.test('statements that depend on the connection are rejected, and statements with side effects are writes', () => {
	for (const [kind, texts] of Object.entries(expected)) {
		for (const sql of texts) {
			assert.equal(kindOf(sql), kind, sql);
		}
	}
});
