#include "../service_p.h"
#include "peridotramp/gateway.h"

int main(int argumentCount, char** arguments)
{
    return peridotramp::runService<peridotramp::Gateway>(
        "peridot-gateway", peridotramp::readGatewaySettings, argumentCount, arguments);
}
