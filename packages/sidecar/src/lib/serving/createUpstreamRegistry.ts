import type { Clock, UpstreamId } from '@buckthornslip/common';
import type { MemberDeparture } from '@buckthornslip/membership';
import type { EventLogger } from '@buckthornslip/telemetry';

import { isSameStart } from './isSameStart';
import type { UpstreamInstance } from './UpstreamInstance';
import type { UpstreamRegistry, UpstreamView } from './UpstreamRegistry';

/** Dependencies and settings of the registry. */
interface UpstreamRegistryOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Expected interval between announcements, in milliseconds. */
  readonly announcementMilliseconds: number;
  /** Called with each announcement that is newer than the known state, before it takes effect. */
  readonly onAnnouncement: (instance: UpstreamInstance) => void;
  /** Called after each change. */
  readonly onChange: (view: UpstreamView) => void;
  /** Called with each new start of the upstream, and with the one that it replaces. */
  readonly onStart: (instance: UpstreamInstance, previous: UpstreamInstance | undefined) => void;
  /** Called with a departure that changes no view, because the upstream is not the current one. */
  readonly onDeparture: (departure: MemberDeparture) => void;
}

/** Intervals without an announcement after which an upstream is lost; announcements may be seconds late. */
const MISSED_ANNOUNCEMENTS = 4;

/** Departed upstreams that are remembered, so that a late announcement does not restore one. */
const REMEMBERED_DEPARTURES = 32;

function isNewer(instance: UpstreamInstance, known: UpstreamInstance): boolean {
  if (instance.startedMilliseconds !== known.startedMilliseconds) {
    return instance.startedMilliseconds > known.startedMilliseconds;
  }
  return instance.id !== known.id || instance.sequence > known.sequence;
}

function supersedes(departure: MemberDeparture, known: MemberDeparture): boolean {
  if (departure.startedMilliseconds !== known.startedMilliseconds) {
    return departure.startedMilliseconds > known.startedMilliseconds;
  }
  return departure.state === 'left';
}

function startOf({ id, startedMilliseconds }: UpstreamInstance) {
  return { id, startedMilliseconds };
}

/**
 * Creates the registry of the local upstream. Announcements may arrive late and out of order; only the newest applies,
 * by start time and sequence. An upstream that has been silent gives way to any other start, because the clock may have
 * been ahead when it started.
 *
 * @param options - Dependencies and settings.
 * @returns A registry without an upstream.
 * @public
 */
export function createUpstreamRegistry(options: UpstreamRegistryOptions): UpstreamRegistry {
  const {
    announcementMilliseconds,
    clock,
    logger,
    onAnnouncement,
    onChange,
    onDeparture,
    onStart,
  } = options;
  const departures = new Map<UpstreamId, MemberDeparture>();
  let view: UpstreamView | undefined;
  /** Whether the current upstream has missed its announcements. */
  let isSilent = false;
  let stopTimer: (() => void) | undefined;

  const setView = (next: UpstreamView, cause: string): void => {
    const stateChanged = view?.state !== next.state || view.instance.id !== next.instance.id;
    const slotsChanged = view?.instance.slots !== next.instance.slots;
    const previous = view?.state;
    view = next;
    if (!stateChanged && !slotsChanged) return;
    logger.log('upstreamStateChanged', {
      upstream: next.instance.id,
      service: next.instance.service,
      state: next.state,
      previous,
      cause,
      sequence: next.instance.sequence,
      startedMilliseconds: next.instance.startedMilliseconds,
      slots: next.instance.slots,
    });
    onChange(next);
  };

  const setLost = (cause: string): void => {
    if (view?.state === 'ready') setView({ ...view, state: 'lost' }, cause);
  };

  const restartAnnouncementTimer = (): void => {
    stopTimer?.();
    isSilent = false;
    stopTimer = clock.setTimer(announcementMilliseconds * MISSED_ANNOUNCEMENTS, () => {
      isSilent = true;
      setLost('announcements-missing');
    });
  };

  const rememberDeparture = (departure: MemberDeparture): void => {
    const known = departures.get(departure.id);
    if (known && !supersedes(departure, known)) return;
    departures.set(departure.id, departure);
    const oldest = departures.keys().next().value;
    if (departures.size > REMEMBERED_DEPARTURES && oldest !== undefined) departures.delete(oldest);
  };

  /** @returns The known departure of an upstream's start, or of a later start with the same id. */
  const departureOf = ({
    id,
    startedMilliseconds,
  }: UpstreamInstance): MemberDeparture | undefined => {
    const known = departures.get(id);
    return known && known.startedMilliseconds >= startedMilliseconds ? known : undefined;
  };

  /** Remembers a departure and applies it to the current upstream, if it is the one that departs. */
  const depart = (departure: MemberDeparture, cause: string): void => {
    rememberDeparture(departure);
    const known = view?.instance.id === departure.id ? departureOf(view.instance) : undefined;
    if (view && known) setView({ ...view, state: known.state }, cause);
    else onDeparture(departure);
  };

  const isOutdated = (instance: UpstreamInstance, known: UpstreamInstance): boolean => {
    if (isSilent && !isSameStart(instance, known)) return false;
    return !isNewer(instance, known);
  };

  return {
    current: () => view,
    announce: (instance) => {
      const departure = departureOf(instance);
      if (departure?.state === 'left') return false;
      // The sender takes it for acknowledged, whether it is the upstream in use or not.
      if (instance.state === 'draining') {
        rememberDeparture({ ...startOf(instance), state: 'draining' });
      }
      if (view && isOutdated(instance, view.instance)) return false;
      // A draining upstream does not become ready again within one start.
      const state = departure ? 'draining' : instance.state;
      const previous = view?.instance;
      onAnnouncement(instance);
      setView({ instance, state }, 'announcement');
      if (!previous || !isSameStart(previous, instance)) onStart(instance, previous);
      restartAnnouncementTimer();
      return true;
    },
    leave: (id, startedMilliseconds) => {
      const current = view?.instance.id === id ? view.instance.startedMilliseconds : undefined;
      // The start of an upstream that has not been announced is unknown, but it was before the departure. The node and
      // its upstream share a clock.
      const started = startedMilliseconds ?? current ?? clock.wallMilliseconds();
      logger.log('upstreamDeparted', { upstream: id, startedMilliseconds: started });
      depart({ id, startedMilliseconds: started, state: 'left' }, 'departure');
    },
    restoreDeparture: (departure) => depart(departure, 'departure before the restart of this node'),
    markLeaving: () => {
      if (!view || view.state === 'draining' || view.state === 'left') return;
      rememberDeparture({ ...startOf(view.instance), state: 'draining' });
      setView({ ...view, state: 'draining' }, 'response');
    },
    markLost: () => setLost('connection-refused'),
    close: () => stopTimer?.(),
  };
}
