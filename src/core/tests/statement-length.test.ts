import * as assert from 'node:assert/strict';
import process from 'node:process';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as directive from '../directive.js';
import * as statement from '../statement.js';

const maxProcessorMs = 2000;

function describe(sql: string): string {
	const outcome = statement.classify(sql);
	return Either.isRight(outcome) ? outcome.right.kind : outcome.left.message;
}

test.test('text inside quotes and comments is ignored, and text after them is classified', () => {
	assert.equal(describe('SELECT \'it\'\'s for update\', "a\\"; b" -- into\n FROM t # delete'), 'read');
	assert.equal(describe('SELECT \'a\\\n\' FROM t'), 'read');
	assert.equal(describe('SELECT `for update``` FROM t /* delete */'), 'read');
	assert.equal(describe(String.raw`SELECT 'a\\' FROM t FOR UPDATE`), 'write');
	assert.equal(describe('/* SELECT */ DELETE FROM t'), 'write');
	assert.match(describe('SELECT \'a\'; DELETE FROM t'), /several statements/v);
});

test.test('an unterminated quote or comment is rejected, since the server may parse the rest differently', () => {
	for (const sql of ['SELECT \'a', 'SELECT "a', 'SELECT `a', 'SELECT /* a', 'SELECT \'a\\', 'SELECT \'a\'\'', String.raw`SELECT 'a\'`]) {
		assert.match(describe(sql), /does not end/v, sql);
	}
});

test.test('a comment that the server executes is rejected', () => {
	assert.match(describe('SELECT 1 /*!50000 FOR UPDATE */'), /a server executes/v);
	assert.match(describe('SELECT 1 /*M!100000 INTO @x */'), /a server executes/v);
	assert.equal(describe('SELECT \'/*! text */\''), 'read');
});

// Guards against texts that blocked the entry host for up to 43 s, or crashed it by a stack overflow in a regular expression.
const longLength = 8_000_000;
const texts: ReadonlyArray<readonly [name: string, text: string]> = [
	['a long string', `INSERT INTO t VALUES ('${'x'.repeat(longLength)}')`],
	['escaped quotes in an open string', `SELECT '${String.raw`\'`.repeat(longLength / 2)}`],
	['doubled quotes', `SELECT '${'\'\''.repeat(longLength / 2)}'`],
	['open comments', `SELECT ${'/*'.repeat(longLength / 2)}`],
	['parentheses', '('.repeat(longLength)],
	['a long line comment', `SELECT 1 #${'x'.repeat(longLength)}`],
	['spaces after a semicolon', `SELECT 1;${' '.repeat(longLength)}`],
	['spaces after SELECT', `SELECT${' '.repeat(longLength)}1`],
	['a long directive', `/* sycamorering ${'x'.repeat(longLength)} */ SELECT 1`],
	['spaces in a variable', `SET @sycamorering_age = 1s${' '.repeat(longLength)}x`],
];

for (const [name, text] of texts) {
	test.test(`a text of 8 MB neither crashes nor blocks the host: ${name}`, () => {
		const started = process.cpuUsage();
		statement.classify(text);
		directive.parseComment(text);
		directive.parseVariable(text);
		const {user, system} = process.cpuUsage(started);
		assert.ok((user + system) / 1000 < maxProcessorMs, `${(user + system) / 1000} ms`);
	});
}
