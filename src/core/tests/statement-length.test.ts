import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as directive from '../directive.js';
import * as statement from '../statement.js';

const timeLimitMs = 2000;

function describe(sql: string): string {
	const outcome = statement.classify(sql);
	return Either.isRight(outcome) ? outcome.right.kind : outcome.left.message;
}

test.test('what quotes and comments hold decides nothing, and what stands after them does', () => {
	assert.equal(describe('SELECT \'it\'\'s for update\', "a\\"; b" -- into\n FROM t # delete'), 'read');
	assert.equal(describe('SELECT \'a\\\n\' FROM t'), 'read');
	assert.equal(describe('SELECT `for update``` FROM t /* delete */'), 'read');
	assert.equal(describe(String.raw`SELECT 'a\\' FROM t FOR UPDATE`), 'write');
	assert.equal(describe('/* SELECT */ DELETE FROM t'), 'write');
	assert.match(describe('SELECT \'a\'; DELETE FROM t'), /several statements/v);
});

test.test('a quote or comment that does not end is refused, since the server may read the rest differently', () => {
	for (const sql of ['SELECT \'a', 'SELECT "a', 'SELECT `a', 'SELECT /* a', 'SELECT \'a\\', 'SELECT \'a\'\'', String.raw`SELECT 'a\'`]) {
		assert.match(describe(sql), /does not end/v, sql);
	}
});

test.test('a comment that the server executes does not travel as a comment', () => {
	assert.match(describe('SELECT 1 /*!50000 FOR UPDATE */'), /a server executes/v);
	assert.match(describe('SELECT 1 /*M!100000 INTO @x */'), /a server executes/v);
	assert.equal(describe('SELECT \'/*! text */\''), 'read');
});

// Before, such texts held up the entry host for up to 43 s, or ended it by a stack overflow of the search.
const long = 8_000_000;
const texts: ReadonlyArray<readonly [name: string, text: string]> = [
	['a long string', `INSERT INTO t VALUES ('${'x'.repeat(long)}')`],
	['escaped quotes in an open string', `SELECT '${String.raw`\'`.repeat(long / 2)}`],
	['doubled quotes', `SELECT '${'\'\''.repeat(long / 2)}'`],
	['open comments', `SELECT ${'/*'.repeat(long / 2)}`],
	['parentheses', '('.repeat(long)],
	['a long line comment', `SELECT 1 #${'x'.repeat(long)}`],
	['spaces after a semicolon', `SELECT 1;${' '.repeat(long)}`],
	['spaces after SELECT', `SELECT${' '.repeat(long)}1`],
	['a long directive', `/* sycamorering ${'x'.repeat(long)} */ SELECT 1`],
	['spaces in a variable', `SET @sycamorering_age = 1s${' '.repeat(long)}x`],
];

for (const [name, text] of texts) {
	test.test(`a text of 8 MB neither ends nor holds up the host: ${name}`, () => {
		const started = performance.now();
		statement.classify(text);
		directive.parseComment(text);
		directive.parseVariable(text);
		assert.ok(performance.now() - started < timeLimitMs);
	});
}
