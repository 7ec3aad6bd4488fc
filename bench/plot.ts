/** Renders the plots of the benchmark as SVG with Vega. */
import * as vega from "vega";
import * as vegaLite from "vega-lite";

/** One line of a plot: a value for each interval of 2 s. */
export interface Curve {
  readonly name: string;
  readonly policy: string;
  readonly values: readonly number[];
}

/** Interval between two points, in s. */
const POINT_SECONDS = 2;

/**
 * Renders one panel per case with one line per policy.
 *
 * @example
 * const svg = await renderCurves(curves, { title: "tanzraum" });
 */
export async function renderCurves(
  curves: readonly Curve[],
  options: { readonly title: string },
): Promise<string> {
  const values = curves.flatMap((curve) =>
    curve.values.map((value, index) => ({
      name: curve.name,
      policy: curve.policy,
      seconds: index * POINT_SECONDS,
      value,
    }))
  );
  const compiled = vegaLite.compile({
    title: options.title,
    data: { values },
    facet: {
      field: "name",
      type: "nominal",
      columns: 3,
      title: null,
      sort: null,
    },
    spec: {
      width: 220,
      height: 110,
      mark: { type: "line", strokeWidth: 1.2 },
      encoding: {
        x: { field: "seconds", type: "quantitative", title: "s" },
        y: { field: "value", type: "quantitative", title: null },
        color: { field: "policy", type: "nominal", title: null },
      },
    },
  } as vegaLite.TopLevelSpec);
  const view = new vega.View(vega.parse(compiled.spec), { renderer: "none" });
  return await view.toSVG();
}
