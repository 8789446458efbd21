# Urgent start p99 and fragmentation of each variant, from the CSV of policy_bench.
set terminal svg size 960,720 font 'sans,11'
set output svg
set datafile separator ','
set style data histograms
set style fill solid 0.8
set xtics rotate by -35
set grid ytics
set multiplot layout 2,1
set title 'p99 of the time to start urgent work (log scale)'
set ylabel 'ms'
set logscale y
plot '< grep ^vormpulp,[fsw] '.csv using 4:xtic(2) title 'vormpulp', \
     '< grep ^kopjeskraal,[fsw] '.csv using 4 title 'kopjeskraal'
unset logscale y
set title 'Fragmentation against the largest guarantee, time-averaged'
set ylabel 'share'
set yrange [0:1]
plot '< grep ^vormpulp,[fsw] '.csv using 7:xtic(2) title 'vormpulp', \
     '< grep ^kopjeskraal,[fsw] '.csv using 7 title 'kopjeskraal'
