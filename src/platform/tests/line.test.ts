import * as assert from 'node:assert/strict';
import * as buffer from 'node:buffer';
import * as test from 'node:test';
import * as fc from 'fast-check';
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

// Guards against lines that are lost, joined or cut where a chunk ends within a line or its terminator.
test.test('lines don\'t depend on how a stream is cut into chunks', () => {
	const texts = fc.array(fc.array(fc.constantFrom('a', 'b', '\r'), {maxLength: 12}).map(characters => characters.join('')), {maxLength: 12});
	fc.assert(fc.property(texts, fc.array(fc.integer({min: 1, max: 9}), {minLength: 1}), (words, cuts) => {
		const stream = buffer.Buffer.from(words.map(word => `${word}\r\n`).join(''), line.encoding);
		const splitter = new line.Splitter();
		const found: string[] = [];
		for (let start = 0, turn = 0; start < stream.length; turn++) {
			const end = start + cuts[turn % cuts.length];
			found.push(...splitter.push(stream.subarray(start, end)) ?? []);
			start = end;
		}

		assert.deepEqual(found, stream.toString(line.encoding).split('\r\n').slice(0, -1));
	}), {seed: 38, numRuns: 500});
});

// Guards against a buffer that is copied at each chunk, and against more memory than the longest line needs.
test.test('a long line in small chunks is held in one buffer, which grows a few times', () => {
	const splitter = new line.Splitter();
	const piece = buffer.Buffer.alloc(100, 'x');
	const sizes = new Set<number>();
	for (let sent = 0; sent < 1_048_500; sent += piece.length) {
		assert.deepEqual(splitter.push(piece), []);
		sizes.add(splitter.heldBytes);
	}

	assert.ok(sizes.size <= 16);
	assert.ok(splitter.heldBytes <= 1_048_577);
	assert.equal(splitter.push(buffer.Buffer.from('\r\n'))?.[0].length, 1_048_500);
	assert.equal(splitter.heldBytes, 0);
});

// Guards against a longest line that is refused because of its terminator, and against a longer one that is accepted.
test.test('a line has at most 1 MiB, however it is cut', () => {
	const longest = 'x'.repeat(1_048_576);
	for (const chunks of [[`${longest}\r\n`], [longest, '\r\n'], [`${longest}\r`, '\n'], [longest.slice(1), 'x\r', '\n']]) {
		const splitter = new line.Splitter();
		const found = chunks.flatMap(chunk => splitter.push(buffer.Buffer.from(chunk)) ?? []);
		assert.deepEqual(found.map(text => text.length), [longest.length]);
	}

	for (const chunks of [[`${longest}x\r\n`], [longest, 'x\r\n'], [longest, 'x'], [`${longest}\r`, 'x']]) {
		const splitter = new line.Splitter();
		assert.equal(chunks.map(chunk => splitter.push(buffer.Buffer.from(chunk))).at(-1), undefined);
	}
});
