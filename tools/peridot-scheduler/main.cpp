#include "../service_p.h"
#include "peridotramp/scheduler.h"

int main(int argumentCount, char** arguments)
{
    return peridotramp::runService<peridotramp::Scheduler>(
        "peridot-scheduler", peridotramp::readSchedulerSettings, argumentCount, arguments);
}
