/** Renders request statistics as one self-contained HTML page with plots. */
import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';
import type {RequestStatistics} from './requestStatistics.js';

const plotWidthPx = 760;
const plotHeightPx = 180;
const heatmapRowHeightPx = 12;

interface Plot {
  readonly title: string;
  readonly spec: Omit<TopLevelSpec, 'width'> & object;
}

/**
 * Renders the page with its plots as inline SVG.
 *
 * @example
 * fs.writeFileSync('report.html', await drawReport(statistics, 500));
 */
export async function drawReport(
  statistics: RequestStatistics,
  targetMs: number,
): Promise<string> {
  const plots = await Promise.all(
    listPlots(statistics, targetMs).map(async ({title, spec}) => {
      const svg = await drawPlot(spec as TopLevelSpec);
      return `<h2>${title}</h2>\n${svg}`;
    }),
  );
  const note =
    statistics.leftOut > 0
      ? `<p>Daemons left out ${statistics.leftOut} lines.</p>`
      : '';
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8">',
    '<title>anvilstall: requests</title>',
    '<style>body{font-family:sans-serif;margin:2em}</style></head><body>',
    '<h1>Requests</h1>',
    note,
    ...plots,
    '</body></html>',
  ].join('\n');
}

async function drawPlot(spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), {renderer: 'none'});
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
}

function listPlots(
  {outcomes, latencyQuantiles, servers, reasons}: RequestStatistics,
  targetMs: number,
): Plot[] {
  const time = {field: 'time', type: 'temporal', title: 'time (UTC)'};
  const size = {width: plotWidthPx, height: plotHeightPx};
  return [
    {
      title: `Outcomes by route; late is above ${targetMs} ms`,
      spec: {
        data: {values: [...outcomes]},
        facet: {row: {field: 'route', title: 'route'}},
        spec: {
          ...size,
          height: plotHeightPx / 2,
          mark: {type: 'bar', width: plotWidthPx / 50},
          encoding: {
            x: {...time, scale: {type: 'utc'}},
            y: {field: 'count', type: 'quantitative', title: 'requests'},
            color: {field: 'outcome', title: 'outcome'},
          },
        },
      } as object,
    },
    {
      title: 'Time to the answer or the first event',
      spec: {
        ...size,
        data: {values: [...latencyQuantiles]},
        layer: [
          {
            mark: 'line',
            encoding: {
              x: {...time, scale: {type: 'utc'}},
              y: {field: 'ms', type: 'quantitative', title: 'ms'},
              color: {field: 'route'},
              strokeDash: {field: 'quantile'},
            },
          },
          {mark: 'rule', encoding: {y: {datum: targetMs}}},
        ],
      } as object,
    },
    {
      title: 'Requests by backend server',
      spec: {
        width: plotWidthPx,
        height: {step: heatmapRowHeightPx},
        data: {values: [...servers]},
        mark: {type: 'rect', width: plotWidthPx / 50},
        encoding: {
          x: {...time, scale: {type: 'utc'}},
          y: {field: 'server', title: 'server'},
          color: {field: 'count', type: 'quantitative', title: 'requests'},
        },
      } as object,
    },
    {
      title: 'Refusals by reason',
      spec: {
        width: plotWidthPx,
        data: {values: [...reasons]},
        mark: 'bar',
        encoding: {
          x: {field: 'count', type: 'quantitative', title: 'requests'},
          y: {field: 'reason', sort: '-x', title: 'reason'},
        },
      } as object,
    },
  ];
}
