/** Routes to the leader: directly, or through a peer that reaches the leader while this controller cannot. */
import type { NodeName, MonotonicTime, Term } from '../../core/units.js';
import {
  parsePeerResponse,
  type LeaderRequest,
  type LeaderStatus,
  type PeerResponses,
} from '../../wire/peer-messages.js';
import type { PeerLink } from './peer-link.js';

/**
 * How long a forwarding peer waits for the leader's response. This is shorter than the timeout of the controller whose
 * heartbeat is forwarded, so that the peer responds within that timeout.
 */
export const PEER_TO_LEADER_TIMEOUT_MS = 2000;

/** A route to a leader. */
export interface LeaderRoute {
  leader: LeaderStatus;
  /** The peer that forwards the requests; null for a direct route. */
  forwarder: NodeName | null;
  sendRequest: <R extends LeaderRequest>(
    request: R,
    timeoutMs: number,
  ) => Promise<PeerResponses[R['kind']] | null>;
}

/** Whether both routes lead to the same leader and term through the same peer, if any. */
export const sameRoute = (a: LeaderRoute, b: LeaderRoute): boolean =>
  a.leader.node === b.leader.node && a.leader.term === b.leader.term && a.forwarder === b.forwarder;

const directRoute = (link: PeerLink): LeaderRoute | null => {
  const { status } = link;
  if (status === null || !(status.leading || status.holdsLease)) return null;
  const { node, term, leading, holdsLease } = status;
  return {
    leader: { node, term, leading, holdsLease },
    forwarder: null,
    sendRequest: (request, timeoutMs) => link.sendRequest(request, timeoutMs),
  };
};

const forwardedRoute = (link: PeerLink): LeaderRoute | null => {
  const leader = link.status?.reachableLeader ?? null;
  if (leader === null) return null;
  return {
    leader,
    forwarder: link.name,
    sendRequest: async <R extends LeaderRequest>(request: R, timeoutMs: number) => {
      const raw = await link.sendRequest({ kind: 'forward', to: leader.node, request }, timeoutMs);
      const kind: R['kind'] = request.kind;
      const response = raw === null ? null : parsePeerResponse(kind, raw);
      return response?.ok ? response.value : null;
    },
  };
};

const isRoute = (route: LeaderRoute | null): route is LeaderRoute => route !== null;

/**
 * Finds a route to the leader. Without a controller that leads, it falls back to one that holds the leader's lease
 * without authority.
 */
export class LeaderRoutes {
  constructor(
    private readonly links: PeerLink[],
    private readonly ownName: NodeName,
  ) {}

  /** Returns a route to a leader of at least `minTerm`, preferably direct; null if no leader is reachable. */
  find(minTerm: Term, now: MonotonicTime): LeaderRoute | null {
    const alive = this.links.filter((link) => link.isAlive(now));
    const routes = [...alive.map(directRoute), ...alive.map(forwardedRoute)]
      .filter(isRoute)
      .filter(({ leader }) => leader.term >= minTerm && leader.node !== this.ownName);
    return (
      routes.find((route) => route.leader.leading) ?? routes.find((route) => route.leader.holdsLease) ?? null
    );
  }

  /** The leader that peers can reach through this controller: only a direct route, so that no request loops. */
  directlyReachableLeader(minTerm: Term, now: MonotonicTime): LeaderStatus | null {
    const route = this.find(minTerm, now);
    return route?.forwarder === null ? route.leader : null;
  }
}
