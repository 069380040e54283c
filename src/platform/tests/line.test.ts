import * as assert from 'node:assert/strict';
import * as buffer from 'node:buffer';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as line from '../line.js';

test.test('lines are assembled from chunks of any size', () => {
	const splitter = new line.Splitter();
	const text = 'DATAROW \u00E4 b\r\nREADY I 3.12\r\n';
	const found = [...text].flatMap(character => splitter.push(buffer.Buffer.from(character, line.encoding)) ?? []);
	assert.deepEqual(found, ['DATAROW \u00E4 b', 'READY I 3.12']);
});

test.test('a line that exceeds the maximum length is rejected', () => {
	assert.equal(new line.Splitter().push(buffer.Buffer.alloc(2_000_000, 'x')), undefined);
});

test.test('statements are parsed by their kind, and their texts are kept unchanged', () => {
	assert.deepEqual(line.parseStatement('WRITE 1a4 x  y'), {kind: 'direct', mode: 'write', text: 'WRITE 1a4 x  y'});
	assert.deepEqual(line.parseStatement('BEGIN READ'), {kind: 'begin', mode: 'read'});
	assert.deepEqual(line.parseStatement('PREPARE s1 WRITE q2c'), {
		kind: 'prepare', name: 's1', mode: 'write', shape: 'q2c',
	});
	assert.deepEqual(line.parseStatement('EXECUTE s1 1a4 data'), {kind: 'execute', name: 's1', parameters: '1a4 data'});
	assert.deepEqual(line.parseStatement('SET zone a b'), {kind: 'set', name: 'zone', value: 'a b'});
	assert.deepEqual(line.parseStatement('CLOSE s1'), {kind: 'deallocate', name: 's1'});
});

test.test('internal commands and malformed text are not accepted as statements of a caller', () => {
	for (const text of ['MINLSN 1.1 READ 1', 'STATUS', 'PAUSE 2', 'STEPDOWN 9', 'RESET', 'BEGIN WRITE', 'READ', 'SET a', 'PREPARE s1 DROP x', 'constructor x', '']) {
		assert.deepEqual(line.parseStatement(text), {kind: 'unknown'}, text);
	}
});

test.test('commands are formatted with the minimum position before the text of the caller', () => {
	assert.equal(line.formatCommand({
		kind: 'forward', id: '5c0e', text: 'READ 1a4', minPosition: {term: 3, index: 1207},
	}), 'QUERY 5c0e MINLSN 3.1207 READ 1a4\r\n');
	assert.equal(line.formatCommand({kind: 'pause', term: 4}), 'QUERY - PAUSE 4\r\n');
	assert.equal(line.formatCommand({kind: 'begin-read', minPosition: null}), 'QUERY - BEGIN READ\r\n');
});

test.test('a status row is parsed into its fields', () => {
	assert.deepEqual(line.parseStatus('replica 3 3.1209 0 12 2 17', 'a'), Either.right({
		role: 'replica', term: 3, position: {term: 3, index: 1209}, heldTerm: 0, lagMs: 12,
	}));
	assert.ok(Either.isLeft(line.parseStatus('gibberish', 'a')));
});

test.test('a message with line breaks is sent as one line', () => {
	assert.equal(line.formatError('busy', 'a\r\nREADY I -'), 'ERROR BUSY a  READY I -\r\n');
});
