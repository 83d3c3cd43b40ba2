/**
 * Random numbers that can be looked at before they are drawn, so that a decision
 * can be explained without a change of the numbers that later decisions get.
 */

import type { CoreHost } from "./types.ts";

/** A core host whose next random numbers can be previewed. */
export type PreviewHost = CoreHost & Required<Pick<CoreHost, "previewRandom">>;

/** The host itself if it can preview, else one that can and draws from it. */
export function withPreview(host: CoreHost): PreviewHost {
  if (host.previewRandom !== undefined) return host as PreviewHost;
  /** Numbers that were previewed and not drawn yet. */
  const ahead: number[] = [];
  return {
    now: () => host.now(),
    random: () => ahead.shift() ?? host.random(),
    sign: (text) => host.sign(text),
    previewRandom,
  };

  function previewRandom(): () => number {
    let index = 0;
    return () => {
      if (index === ahead.length) ahead.push(host.random());
      return ahead[index++]!;
    };
  }
}
