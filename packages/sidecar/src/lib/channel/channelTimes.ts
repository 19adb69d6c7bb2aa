/** Times of connections between nodes, in milliseconds. */
export const channelTimes = {
  /** Longest time until the other node has greeted; two round trips between regions take 120 ms. */
  connect: 500,
  /** How often connections with unanswered messages are looked at. */
  check: 250,
  /** Time without a byte after which the other node is asked for a sign of life. */
  quiet: 400,
  /** Time without a byte after which a connection counts as silent. A lost packet is sent again within 600 ms. */
  silence: 1_200,
  /** Pause before the answer to a call that must not run twice is asked for again. */
  resume: 300,
  /** Time for which calls go on after their connection was lost, so that their answers can be asked for again. */
  orphan: 2_000,
  /** Time for which an answer is kept after it was sent. */
  keep: 5_000,
  /** Longest wait for the answer to a short message. */
  message: 900,
  /** Longest wait for tokens; a round trip between regions takes 60 ms. */
  tokens: 250,
} as const;
