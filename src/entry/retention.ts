/**
What a host's cache keeps when the store was restored from a copy. The copy is older than the cache: what it lacks may be
lost rather than removed, until its writer has written it again.
*/
import type * as objects from './objects.js';

/** Decides for each known object of a kind. */
export abstract class Retention<K extends objects.Kind> {
	/** Whether the cache keeps `known`. `restored` is the object of that name in the restored store, if there is one. */
	abstract isKept(known: objects.Item<K>, restored: objects.Item<K> | undefined): boolean;
}

/** Keeps nothing: for objects that are written again at once, or whose absence has to be known. */
export class Discarding<K extends objects.Kind> extends Retention<K> {
	override isKept(): boolean {
		return false;
	}
}

/** Keeps announcements of hosts that are missing: such a host announces itself again, and links to it stay in use. */
export class HostRetention extends Retention<'hosts'> {
	override isKept(_known: objects.Item<'hosts'>, restored: objects.Item<'hosts'> | undefined): boolean {
		return restored === undefined;
	}
}

/** Keeps the highest version of the configuration: a lower one has been replaced by the operators since. */
export class ConfigurationRetention extends Retention<'configuration'> {
	override isKept({value}: objects.Item<'configuration'>, restored: objects.Item<'configuration'> | undefined): boolean {
		return value !== undefined && (restored?.value === undefined || restored.value.version < value.version);
	}
}

/**
Keeps registrations of servers that the copy has of an earlier incarnation, whose log is gone, or of the time before the
server began to leave. A missing server is not kept, as it may have left.
*/
export class ServerRetention extends Retention<'servers'> {
	override isKept({value: known}: objects.Item<'servers'>, restored: objects.Item<'servers'> | undefined): boolean {
		const listed = restored?.value;
		return known !== undefined && listed !== undefined
			&& (listed.startedAt < known.startedAt || (listed.startedAt === known.startedAt && known.state === 'leaving' && listed.state === 'ready'));
	}
}
