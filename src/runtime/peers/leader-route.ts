/** The way to the leader: the link to it, or through a peer that reaches it while the network between the two is cut. */
import type { NodeName, MonotonicTime, Term } from '../../core/units.js';
import {
  parsePeerResponse,
  type LeaderRequest,
  type LeaderStatus,
  type PeerResponses,
} from '../../wire/peer-messages.js';
import type { PeerLink } from './peer-link.js';

/** A peer gives up on the leader's response before the controller that asked gives up on the peer. */
export const PEER_TO_LEADER_TIMEOUT_MS = 2000;

/** A way to a leader. */
export interface LeaderRoute {
  leader: LeaderStatus;
  /** The peer in between; null when the leader is asked directly. */
  forwarder: NodeName | null;
  sendRequest: <R extends LeaderRequest>(
    request: R,
    timeoutMs: number,
  ) => Promise<PeerResponses[R['kind']] | null>;
}

/** Whether both lead to the same leadership in the same way. */
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

/** Finds the way to the leader, or else to whoever holds its lease, among those of at least this term. */
export class LeaderRoutes {
  constructor(
    private readonly links: PeerLink[],
    private readonly ownName: NodeName,
  ) {}

  /** Direct ways come first; null where no leader is reached. */
  find(minTerm: Term, now: MonotonicTime): LeaderRoute | null {
    const alive = this.links.filter((link) => link.isAlive(now));
    const routes = [...alive.map(directRoute), ...alive.map(forwardedRoute)]
      .filter(isRoute)
      .filter(({ leader }) => leader.term >= minTerm && leader.node !== this.ownName);
    return (
      routes.find((route) => route.leader.leading) ?? routes.find((route) => route.leader.holdsLease) ?? null
    );
  }

  /** What this controller tells its peers: only a leader that it reaches directly, so that no request goes in a circle. */
  directlyReachableLeader(minTerm: Term, now: MonotonicTime): LeaderStatus | null {
    const route = this.find(minTerm, now);
    return route?.forwarder === null ? route.leader : null;
  }
}
