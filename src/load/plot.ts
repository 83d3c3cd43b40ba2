/** Draws latency curves as an SVG image. */

/** One curve of a plot. */
export interface PlotCurve {
  readonly label: string;
  readonly points: readonly { percentile: number; ms: number }[];
}

const WIDTH = 860;
const HEIGHT = 460;
const MARGIN = { left: 70, right: 210, top: 50, bottom: 60 };
const COLOURS = [
  "#0b6e99",
  "#c4402f",
  "#5b8c2a",
  "#8e5aa8",
  "#b8860b",
  "#444444",
  "#d36ba6",
  "#2f9e8f",
];

/** Draws latency, on a logarithmic axis, over evenly spaced percentiles. */
export function plotCurves(
  title: string,
  curves: readonly PlotCurve[],
): string {
  const all = curves.flatMap((c) => c.points.map((p) => p.ms))
    .filter((ms) => ms > 0);
  const low = Math.min(...all, 1);
  const high = Math.max(...all, 10);
  const percentiles = [
    ...new Set(curves.flatMap((c) => c.points.map((p) => p.percentile))),
  ].sort((a, b) => a - b);
  const x = (percentile: number) =>
    MARGIN.left + percentiles.indexOf(percentile) /
      Math.max(1, percentiles.length - 1) *
      (WIDTH - MARGIN.left - MARGIN.right);
  const y = (ms: number) =>
    HEIGHT - MARGIN.bottom - Math.log(Math.max(ms, low) / low) /
      Math.log(high / low) * (HEIGHT - MARGIN.top - MARGIN.bottom);
  const parts = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
    `<rect width="100%" height="100%" fill="white"/>`,
    `<text x="${MARGIN.left}" y="28" font-size="16">${escape(title)}</text>`,
    `<text x="${MARGIN.left}" y="${HEIGHT - 15}">percentile of requests</text>`,
    `<text transform="translate(18 ${
      HEIGHT - MARGIN.bottom
    }) rotate(-90)">latency, ms (logarithmic)</text>`,
    ...percentiles.map((p) =>
      `<text x="${x(p)}" y="${HEIGHT - 38}" text-anchor="middle">${p}</text>`
    ),
    ...getTicks(low, high).map((ms) =>
      `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${
        y(ms)
      }" y2="${y(ms)}" stroke="#dddddd"/>` +
      `<text x="${MARGIN.left - 8}" y="${
        y(ms) + 4
      }" text-anchor="end">${ms}</text>`
    ),
    ...curves.map((curve, index) => drawCurve(curve, { index, x, y })),
    "</svg>",
  ];
  return `${parts.join("\n")}\n`;
}

function drawCurve(
  curve: PlotCurve,
  at: {
    index: number;
    x(percentile: number): number;
    y(ms: number): number;
  },
): string {
  const colour = COLOURS[at.index % COLOURS.length];
  const points = curve.points
    .map((p) => `${at.x(p.percentile).toFixed(1)},${at.y(p.ms).toFixed(1)}`)
    .join(" ");
  const legendY = MARGIN.top + 18 * at.index;
  const legendX = WIDTH - MARGIN.right + 20;
  return `<polyline points="${points}" fill="none" stroke="${colour}" stroke-width="2"/>` +
    `<line x1="${legendX}" x2="${
      legendX + 22
    }" y1="${legendY}" y2="${legendY}" stroke="${colour}" stroke-width="3"/>` +
    `<text x="${legendX + 28}" y="${legendY + 4}">${
      escape(curve.label)
    }</text>`;
}

function getTicks(low: number, high: number): number[] {
  const ticks: number[] = [];
  for (let power = Math.floor(Math.log10(low)); 10 ** power <= high; power++) {
    for (const step of [1, 2, 5]) {
      const tick = Number((step * 10 ** power).toPrecision(1));
      if (tick >= low && tick <= high) ticks.push(tick);
    }
  }
  return ticks;
}

function escape(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
